import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A message of HTTP/1.1, read from a socket byte by byte as it was sent. */
final class Http {
    String startLine = "";
    final Map<String, String> headers = new LinkedHashMap<>();
    byte[] body = new byte[0];
    int status;
    /** Whether the message ended as its framing says. */
    boolean complete;

    String header(String name) {
        return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    String text() {
        return new String(body, StandardCharsets.ISO_8859_1);
    }

    static Socket connect(String ip, int port, int timeoutMillis) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(ip, port), timeoutMillis);
        socket.setSoTimeout(timeoutMillis);
        return socket;
    }

    static Http call(String ip, int port, String request, int timeoutMillis) throws IOException {
        try (Socket socket = connect(ip, port, timeoutMillis)) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            return read(socket.getInputStream(), false);
        }
    }

    /** Reads a request head with its body, or null at the end of the connection. */
    static Http readRequest(InputStream in) throws IOException {
        Http request = new Http();
        return request.readHead(in) ? request.readBody(in, true, false) : null;
    }

    static Http read(InputStream in, boolean headRequest) throws IOException {
        Http response = new Http();
        if (!response.readHead(in)) {
            throw new EOFException("the connection ended without an answer");
        }
        response.status = Integer.parseInt(response.startLine.split(" ")[1]);
        return response.readBody(in, false, headRequest);
    }

    boolean readHead(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return false;
        }
        startLine = line;
        for (line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        if (line == null) {
            throw new EOFException("the connection ended within a head");
        }
        return true;
    }

    private Http readBody(InputStream in, boolean request, boolean bodiless) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            if (bodiless) {
                complete = true;
            } else if (header("transfer-encoding").equalsIgnoreCase("chunked")) {
                while (true) {
                    String line = readLine(in);
                    if (line == null) {
                        break;
                    }
                    int size = Integer.parseInt(line.split(";")[0].trim(), 16);
                    byte[] chunk = in.readNBytes(size);
                    out.write(chunk);
                    if (chunk.length < size || readLine(in) == null) {
                        break;
                    }
                    if (size == 0) {
                        complete = true;
                        break;
                    }
                }
            } else if (!header("content-length").isEmpty()) {
                int size = Integer.parseInt(header("content-length"));
                out.write(in.readNBytes(size));
                complete = out.size() == size;
            } else if (request) {
                complete = true;
            } else {
                in.transferTo(out);
                complete = true;
            }
        } finally {
            body = out.toByteArray();
        }
        return this;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
        }
        return null;
    }
}
