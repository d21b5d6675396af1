import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Stand-in of a client that keeps its channel open for many requests. */
final class Client {
    private static final int DEADLINE_MILLIS = 8_000;

    private final Lab lab;
    private final Lab.Gateway gateway;
    private Socket socket;
    private InputStream in;

    Client(Lab lab, Lab.Gateway gateway) {
        this.lab = lab;
        this.gateway = gateway;
    }

    /** Opens the channel if there is none. */
    void connect() throws IOException {
        if (socket == null) {
            socket = Http.connect(gateway.ip, gateway.port, DEADLINE_MILLIS);
            in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
        }
    }

    boolean isConnected() {
        return socket != null;
    }

    /** Sends a request and reads its answer; returns none if the channel ended before the whole head of one. */
    Http send(String method, String path, String id, String headers, byte[] body) throws IOException {
        connect();
        String head = method + " " + path + " HTTP/1.1\r\nHost: " + Lab.HOST_NAME + "\r\nX-Rattanplank-Request-Id: " + id
                + "\r\nX-Rattanplank-Deadline-Ms: " + DEADLINE_MILLIS + "\r\n" + headers + "Content-Length: " + body.length
                + "\r\n\r\n";
        if (!lab.compact) {
            lab.log("client sends " + id + ": " + method + " " + path + " (" + body.length + " bytes)");
        }
        Http answer = null;
        try {
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(body);
            answer = Http.read(in, method.equals("HEAD"));
        } catch (IOException e) {
            lab.log("client gets no answer to " + id + ": " + e);
        }
        if (answer == null || !answer.complete || answer.header("Connection").equals("close")) {
            close();
        }
        if (answer != null) {
            lab.log("client gets " + answer.status + " to " + id + (lab.compact ? " (" + method + " " + path + ")" : "") + ", stamp " + answer.header("X-Rattanplank-Replica-Stamp")
                    + ", " + answer.body.length + " bytes, " + (answer.complete ? "complete" : "NOT complete"));
        }
        return answer;
    }

    void close() throws IOException {
        socket.close();
        socket = null;
    }
}
