import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A client sends paths and queries with the bytes of UTF-8 text, as it typed them. */
final class RawPath implements Case.Script {
    private static final List<String> NAMES = List.of("Kadavu", "N\u0101d\u012b", "Caf\u00e9", "Ba");

    private final Map<String, String> run = new ConcurrentHashMap<>();

    @Override
    public List<String> regions() {
        return List.of("suva");
    }

    @Override
    public boolean holds(Lab lab) throws Exception {
        new Replica(lab, "i-1", "desk", "suva-hall").behaviour = this::book;
        Lab.Gateway gateway = lab.gateway("front-suva-1", "suva", 1);
        lab.configure(7, Lab.limits(), new JsonNode[] {Lab.route("booking", "unsafe", "desk", 1, 5_000)});
        gateway.awaitReady();
        Client client = new Client(lab, gateway);
        int changed = 0;
        int ran = 0;
        for (int i = 0; i < 20; i++) {
            String name = lab.trouble ? NAMES.get(i % NAMES.size()) : "Kadavu";
            String path = "/booking/" + name + "?for=" + name;
            // One character for each byte, as the client writes them.
            String bytes = new String(path.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
            client.send("POST", bytes, "p" + i, "", new byte[10]);
            String arrived = run.get("p" + i);
            if (arrived != null) {
                ran++;
                if (!arrived.equals("POST " + bytes + " HTTP/1.1")) {
                    changed++;
                    lab.log("request p" + i + " was run with another path: sent " + hex(bytes) + ", run " + hex(arrived));
                }
            }
        }
        lab.log("run " + ran + ", with another path or query than sent " + changed);
        System.out.println("run " + ran + ", with another path or query than sent " + changed);
        return changed == 0;
    }

    private static String hex(String text) {
        StringBuilder hex = new StringBuilder();
        for (byte each : text.getBytes(StandardCharsets.ISO_8859_1)) {
            hex.append(each >= ' ' ? String.valueOf((char) each) : String.format("<%02X>", each));
        }
        return hex.toString();
    }

    private boolean book(Replica replica, Http request, Socket socket, OutputStream out) throws IOException {
        run.put(Replica.requestId(request), request.startLine);
        return replica.answer(request, socket, out);
    }
}
