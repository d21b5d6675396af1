package org.rattanplank.bench.outcome;

import java.util.List;
import java.util.Random;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.rattanplank.bench.process.ChildProcess;
import org.rattanplank.bench.process.Fleet;
import org.rattanplank.bench.process.Host;
import org.rattanplank.bench.process.Poll;
import org.rattanplank.bench.process.Site;
import org.rattanplank.standins.http.Json;
import org.rattanplank.standins.link.LinkState;

/** A temporary fault of the fleet, its links, its store or its targets. Immutable and thread safe. */
enum Disturbance {
    /** A host is killed and restarted. */
    KILL_HOST {
        @Override
        void apply(Fleet fleet, Random random) {
            Host host = randomHost(fleet, random);
            host.process().kill();
            pause(random, 200, 1_500);
            host.restart();
        }
    },
    /** All hosts of a data centre are killed and restarted. */
    KILL_DATA_CENTRE {
        @Override
        void apply(Fleet fleet, Random random) {
            List<Host> hosts = fleet.hostsOf(randomSite(fleet, random).dataCentre());
            hosts.forEach(host -> host.process().kill());
            pause(random, 200, 1_500);
            hosts.forEach(Host::restart);
        }
    },
    /** A host is asked to stop gracefully and restarted. */
    STOP_HOST {
        @Override
        void apply(Fleet fleet, Random random) {
            Host host = randomHost(fleet, random);
            host.process().terminate();
            host.restart();
        }
    },
    /** A host process is suspended and resumed, in some cases after the timeouts of its peers have passed. */
    FREEZE_HOST {
        @Override
        void apply(Fleet fleet, Random random) {
            ChildProcess child = randomHost(fleet, random).process();
            child.suspend();
            pause(random, 300, 5_000);
            child.resume();
        }
    },
    /** The target process of a data centre is suspended and resumed. */
    FREEZE_TARGETS {
        @Override
        void apply(Fleet fleet, Random random) {
            ChildProcess child = fleet.targetProcess(randomSite(fleet, random).dataCentre());
            child.suspend();
            pause(random, 300, 2_500);
            child.resume();
        }
    },
    /** A data centre is partitioned from the others and from the platform, and its connections are reset. */
    CUT_DATA_CENTRE {
        @Override
        void apply(Fleet fleet, Random random) {
            fleet.links().setStateOfLinksAround(randomSite(fleet, random).dataCentre(), LinkState.partitioned());
            pause(random, 500, 3_000);
            fleet.links().heal();
        }
    },
    /** The connections of a data centre to the others and to the platform become unresponsive. */
    SILENCE_DATA_CENTRE {
        @Override
        void apply(Fleet fleet, Random random) {
            fleet.links().setStateOfLinksAround(randomSite(fleet, random).dataCentre(), LinkState.dropping());
            pause(random, 500, 3_000);
            fleet.links().heal();
        }
    },
    /** Open connections to all targets of a data centre become permanently unresponsive, while new ones work. */
    SILENCE_TARGET_CONNECTIONS {
        @Override
        void apply(Fleet fleet, Random random) {
            String dataCentre = randomSite(fleet, random).dataCentre();
            for (String line : fleet.targetProcess(dataCentre).lines()) {
                if (line.startsWith("target ready")) {
                    String name = line.replaceFirst(".*name=", "").replaceFirst(" .*", "");
                    fleet.links().dropBytesOfOpenConnections(name);
                }
            }
        }
    },
    /** The store is down, and a host is killed in the meantime. */
    STORE_DOWN_AND_KILL_HOST {
        @Override
        void apply(Fleet fleet, Random random) {
            fleet.setPlatformFaults(Json.object().put("storeDown", true));
            Host host = randomHost(fleet, random);
            host.process().kill();
            pause(random, 500, 2_000);
            fleet.setPlatformFaults(Json.object().put("storeDown", false));
            host.restart();
        }
    },
    /** Writes to the store take effect but their responses are lost, and a host is killed in the meantime. */
    LOSE_STORE_ANSWERS_AND_KILL_HOST {
        @Override
        void apply(Fleet fleet, Random random) {
            fleet.setPlatformFaults(Json.object().put("loseAnswers", 3));
            KILL_HOST.apply(fleet, random);
            fleet.setPlatformFaults(Json.object().put("loseAnswers", 0));
        }
    },
    /** Targets run calls and lose, duplicate, mismatch, truncate or withhold the responses, or reject calls. */
    TARGET_FAULTS {
        @Override
        void apply(Fleet fleet, Random random) {
            String dataCentre = randomSite(fleet, random).dataCentre();
            for (int i = 0; i < FAULTS_PER_DISTURBANCE; i++) {
                ObjectNode fault = Json.object()
                        .put("fault", FAULT_NAMES.get(random.nextInt(FAULT_NAMES.size())))
                        .put("next", 1 + random.nextInt(3))
                        .put("afterParts", random.nextInt(8));
                fleet.configureTargetFaults(dataCentre, fault);
            }
        }
    };

    private static final int FAULTS_PER_DISTURBANCE = 4;
    private static final List<String> FAULT_NAMES =
            List.of("lose-answer", "answer-twice", "wrong-id", "cut-body", "cut-stream", "silent", "refuse");

    abstract void apply(Fleet fleet, Random random);

    private static Host randomHost(Fleet fleet, Random random) {
        return fleet.hosts().get(random.nextInt(fleet.hosts().size()));
    }

    private static Site randomSite(Fleet fleet, Random random) {
        List<Site> sites = fleet.deployment().sites();
        return sites.get(random.nextInt(sites.size()));
    }

    private static void pause(Random random, int minMillis, int maxMillis) {
        Poll.pause(minMillis + random.nextInt(maxMillis - minMillis));
    }
}
