import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * The operator raises the limit of request bodies. Clients that have kept their channels since before send bodies that the
 * new version allows, long after its confirmation.
 */
final class RaisedLimits implements Case.Script {
    private static final int CLIENTS = 12;
    private static final int OLD_BODY_BYTES = 65_536;
    private static final int NEW_BODY_BYTES = 1_048_576;
    private static final int SENT_BYTES = 200_000;
    private static final int CONFIG_APPLY_MILLIS = 4_000;
    /** DENIED: more than 5 + one in 500 of all requests. */
    private static final int MAX_DENIED = 5;

    @Override
    public List<String> regions() {
        return List.of("suva");
    }

    @Override
    public boolean holds(Lab lab) throws Exception {
        new Replica(lab, "i-1", "desk", "suva-hall");
        new Replica(lab, "i-2", "desk", "suva-hall");
        Lab.Gateway gateway = lab.gateway("front-suva-1", "suva", 1);
        configure(lab, 7, lab.trouble ? OLD_BODY_BYTES : NEW_BODY_BYTES);
        gateway.awaitReady();
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Client client = new Client(lab, gateway);
            client.send("POST", "/booking/" + i, "old-" + i, "", new byte[600]);
            clients.add(client);
        }
        Lab.sleep(1_000);
        configure(lab, 12, NEW_BODY_BYTES);
        int sent = CLIENTS;
        int denied = 0;
        // The channels carry small requests meanwhile, so that none is idle for long.
        for (int second = 0; second < 10; second++) {
            Lab.sleep(1_000);
            for (int i = 0; i < CLIENTS; i++) {
                clients.get(i).send("POST", "/booking/" + i, "between-" + second + "-" + i, "", new byte[600]);
                sent++;
            }
        }
        lab.log("it is more than " + CONFIG_APPLY_MILLIS + " ms after the confirmation of version 12");
        for (int i = 0; i < CLIENTS; i++) {
            Http answer = clients.get(i).send("POST", "/booking/" + i, "new-" + i, "", new byte[SENT_BYTES]);
            sent++;
            denied += answer != null && answer.status == 413 ? 1 : 0;
        }
        Http fresh = new Client(lab, gateway).send("POST", "/booking/x", "fresh", "", new byte[SENT_BYTES]);
        sent++;
        lab.log("sent " + sent + ", refused with 413 as only version 7 asks: " + denied + " (allowed " + MAX_DENIED
                + " + one in 500); the same on a new channel: " + fresh.status);
        System.out.println("refused with 413: " + denied + " of " + CLIENTS + "; on a new channel: " + fresh.status);
        return denied <= MAX_DENIED + sent / 500;
    }

    private static void configure(Lab lab, long version, int bodyBytes) throws IOException {
        ObjectNode limits = Lab.limits().put("max_body_bytes", bodyBytes);
        lab.configure(version, limits, Lab.route("booking", "unsafe", "desk", 1, 5_000));
    }
}
