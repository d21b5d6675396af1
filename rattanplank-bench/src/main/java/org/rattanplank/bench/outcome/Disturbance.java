package org.rattanplank.bench.outcome;

import java.util.List;
import java.util.Random;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.rattanplank.bench.process.Child;
import org.rattanplank.bench.process.Fleet;
import org.rattanplank.bench.process.Host;
import org.rattanplank.bench.process.Poll;
import org.rattanplank.bench.process.Site;
import org.rattanplank.standins.http.Json;
import org.rattanplank.standins.link.LinkState;

/** Something that goes wrong for a while and is then over. */
enum Disturbance {
    /** A host is killed and started anew. */
    KILL_HOST {
        @Override
        void happen(Fleet fleet, Random random) {
            Host host = anyHost(fleet, random);
            host.child().kill();
            pause(random, 200, 1_500);
            host.restart();
        }
    },
    /** Both hosts of a data centre are killed and started anew. */
    KILL_DATA_CENTRE {
        @Override
        void happen(Fleet fleet, Random random) {
            List<Host> hosts = fleet.hostsOf(anySite(fleet, random).dataCentre());
            hosts.forEach(host -> host.child().kill());
            pause(random, 200, 1_500);
            hosts.forEach(Host::restart);
        }
    },
    /** A host is asked to stop gracefully and started anew. */
    STOP_HOST {
        @Override
        void happen(Fleet fleet, Random random) {
            Host host = anyHost(fleet, random);
            host.child().terminate();
            host.restart();
        }
    },
    /** A host freezes, at times for longer than others wait for it, and wakes. */
    FREEZE_HOST {
        @Override
        void happen(Fleet fleet, Random random) {
            Child child = anyHost(fleet, random).child();
            child.freeze();
            pause(random, 300, 5_000);
            child.resume();
        }
    },
    /** The targets of a data centre freeze and wake. */
    FREEZE_TARGETS {
        @Override
        void happen(Fleet fleet, Random random) {
            Child child = fleet.targetProcess(anySite(fleet, random).dataCentre());
            child.freeze();
            pause(random, 300, 2_500);
            child.resume();
        }
    },
    /** A data centre is cut from the others and from the platform. */
    CUT_DATA_CENTRE {
        @Override
        void happen(Fleet fleet, Random random) {
            fleet.links().around(anySite(fleet, random).dataCentre(), LinkState.cutOff());
            pause(random, 500, 3_000);
            fleet.links().heal();
        }
    },
    /** A data centre's connections to the others and to the platform go silent. */
    SILENCE_DATA_CENTRE {
        @Override
        void happen(Fleet fleet, Random random) {
            fleet.links().around(anySite(fleet, random).dataCentre(), LinkState.silent());
            pause(random, 500, 3_000);
            fleet.links().heal();
        }
    },
    /** Open connections to all targets of a data centre go silent for good while new ones work. */
    SILENCE_TARGET_CONNECTIONS {
        @Override
        void happen(Fleet fleet, Random random) {
            String dataCentre = anySite(fleet, random).dataCentre();
            for (String line : fleet.targetProcess(dataCentre).lines()) {
                if (line.startsWith("target ready")) {
                    String name = line.replaceFirst(".*name=", "").replaceFirst(" .*", "");
                    fleet.links().silenceOpenConnections(name);
                }
            }
        }
    },
    /** The store is down, and a host is killed meanwhile. */
    STORE_DOWN_AND_KILL_HOST {
        @Override
        void happen(Fleet fleet, Random random) {
            fleet.platformFaults(Json.object().put("storeDown", true));
            Host host = anyHost(fleet, random);
            host.child().kill();
            pause(random, 500, 2_000);
            fleet.platformFaults(Json.object().put("storeDown", false));
            host.restart();
        }
    },
    /** Writes to the store take effect while their answers are lost, and a host is killed meanwhile. */
    LOSE_STORE_ANSWERS_AND_KILL_HOST {
        @Override
        void happen(Fleet fleet, Random random) {
            fleet.platformFaults(Json.object().put("loseAnswers", 3));
            KILL_HOST.happen(fleet, random);
            fleet.platformFaults(Json.object().put("loseAnswers", 0));
        }
    },
    /** Targets run calls and lose, double, cross, cut or withhold the answers, or refuse calls. */
    TARGET_FAULTS {
        @Override
        void happen(Fleet fleet, Random random) {
            String dataCentre = anySite(fleet, random).dataCentre();
            for (int i = 0; i < FAULTS_AT_ONCE; i++) {
                ObjectNode fault = Json.object()
                        .put("fault", FAULTS.get(random.nextInt(FAULTS.size())))
                        .put("next", 1 + random.nextInt(3))
                        .put("afterParts", random.nextInt(8));
                fleet.planTargetFaults(dataCentre, fault);
            }
        }
    };

    private static final int FAULTS_AT_ONCE = 4;
    private static final List<String> FAULTS =
            List.of("lose-answer", "answer-twice", "wrong-id", "cut-body", "cut-stream", "silent", "refuse");

    abstract void happen(Fleet fleet, Random random);

    private static Host anyHost(Fleet fleet, Random random) {
        return fleet.hosts().get(random.nextInt(fleet.hosts().size()));
    }

    private static Site anySite(Fleet fleet, Random random) {
        List<Site> sites = fleet.deployment().sites();
        return sites.get(random.nextInt(sites.size()));
    }

    private static void pause(Random random, int fromMillis, int toMillis) {
        Poll.pause(fromMillis + random.nextInt(toMillis - fromMillis));
    }
}
