import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 for the stand-ins: a server with one thread a connection, and a client connection. */
final class Http {
    private Http() { }

    static final class Request {
        String method;
        String target;
        String path;
        final Map<String, String> query = new LinkedHashMap<>();
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        String header(String name) {
            return headers.get(name);
        }
    }

    static final class Reply {
        int status;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];
        /** Whether the body was received to its declared end. */
        boolean whole;
        /** Why there is no whole reply; null if there is one. */
        String failure;

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        @Override public String toString() {
            return failure == null ? "status " + status + ", " + body.length + " bytes" : "status " + status + ", " + failure;
        }
    }

    interface Handler {
        void handle(Request request, Answer answer) throws Exception;
    }

    /** Writes the answer to one request. */
    static final class Answer {
        private final Socket socket;
        private final OutputStream out;
        boolean closes;

        Answer(Socket socket) throws IOException {
            this.socket = socket;
            this.out = socket.getOutputStream();
        }

        void send(int status, Map<String, String> headers, byte[] body) throws IOException {
            StringBuilder head = head(status, headers);
            head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            all.write(body);
            out.write(all.toByteArray());
            out.flush();
        }

        void send(int status, String body) throws IOException {
            send(status, Map.of("Content-Type", "application/json"), body.getBytes(StandardCharsets.UTF_8));
        }

        void startChunks(int status, Map<String, String> headers) throws IOException {
            StringBuilder head = head(status, headers);
            head.append("Transfer-Encoding: chunked\r\n\r\n");
            out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        void chunk(byte[] bytes) throws IOException {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            all.write(bytes);
            all.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
            out.write(all.toByteArray());
            out.flush();
        }

        void endChunks() throws IOException {
            out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        /** Resets the connection. */
        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        /** Whether the peer has closed the connection while it waits for this answer. */
        boolean isAbandoned() {
            try {
                socket.setSoTimeout(1);
                input.mark(1);
                int next = input.read();
                if (next >= 0) input.reset();
                return next < 0;
            } catch (java.net.SocketTimeoutException e) {
                return false;
            } catch (IOException e) {
                return true;
            }
        }

        InputStream input;

        private StringBuilder head(int status, Map<String, String> headers) {
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            if (closes) head.append("Connection: close\r\n");
            return head;
        }
    }

    static final class Server implements AutoCloseable {
        private final ServerSocket listener;
        private final Handler handler;
        private final Map<Socket, Boolean> open = new ConcurrentHashMap<>();

        Server(String ip, int port, Handler handler) throws IOException {
            this.handler = handler;
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 256);
            start(this::accept);
        }

        int port() {
            return listener.getLocalPort();
        }

        private void accept() {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    open.put(socket, true);
                    start(() -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream(), 65536);
                while (true) {
                    socket.setSoTimeout(0);
                    Request request = readRequest(in);
                    if (request == null) return;
                    Answer answer = new Answer(socket);
                    answer.input = in;
                    handler.handle(request, answer);
                    if (answer.closes || socket.isClosed()) return;
                }
            } catch (Exception e) {
                // The peer is gone, or the handler gave the connection up.
            } finally {
                open.remove(socket);
            }
        }

        /** Closes the listener and all connections. */
        @Override public void close() throws IOException {
            listener.close();
            for (Socket socket : open.keySet()) socket.close();
        }
    }

    static Request readRequest(InputStream in) throws IOException {
        String line = readLine(in);
        while (line != null && line.isEmpty()) line = readLine(in);
        if (line == null) return null;
        Request request = new Request();
        int first = line.indexOf(' ');
        int last = line.lastIndexOf(' ');
        request.method = line.substring(0, first);
        request.target = line.substring(first + 1, last);
        int mark = request.target.indexOf('?');
        request.path = mark < 0 ? request.target : request.target.substring(0, mark);
        if (mark >= 0) {
            for (String pair : request.target.substring(mark + 1).split("&")) {
                int equals = pair.indexOf('=');
                if (equals >= 0) {
                    request.query.put(
                        URLDecoder.decode(pair.substring(0, equals), StandardCharsets.UTF_8),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
                }
            }
        }
        readHeaders(in, request.headers);
        request.body = readBody(in, request.headers, false);
        return request;
    }

    private static void readHeaders(InputStream in, Map<String, String> headers) throws IOException {
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
    }

    private static byte[] readBody(InputStream in, Map<String, String> headers, boolean untilClose) throws IOException {
        if ("chunked".equalsIgnoreCase(headers.getOrDefault("Transfer-Encoding", ""))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            readChunks(in, body);
            return body.toByteArray();
        }
        String length = headers.get("Content-Length");
        if (length != null) return readExactly(in, Integer.parseInt(length));
        return untilClose ? in.readAllBytes() : new byte[0];
    }

    private static void readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
        while (true) {
            String line = readLine(in);
            if (line == null) throw new EOFException("the chunked body ended early");
            int size = Integer.parseInt(line.trim(), 16);
            if (size == 0) {
                readLine(in);
                return;
            }
            body.write(readExactly(in, size));
            readLine(in);
        }
    }

    private static byte[] readExactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) throw new EOFException("the body ended after " + bytes.length + " of " + size + " bytes");
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int c = in.read();
        if (c < 0) return null;
        while (c >= 0 && c != '\n') {
            if (c != '\r') line.write(c);
            c = in.read();
        }
        return line.toString(StandardCharsets.UTF_8);
    }

    /** A client connection that may be kept for several requests. */
    static final class Connection implements AutoCloseable {
        final Socket socket = new Socket();
        private final InputStream in;
        boolean reusable = true;

        Connection(String ip, int port) throws IOException {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(ip, port), 1000);
            in = new BufferedInputStream(socket.getInputStream(), 65536);
        }

        /** Sends a request and reads its answer. A failure is told in the reply. */
        Reply call(String method, String target, Map<String, String> headers, byte[] body, int timeoutMillis) {
            Reply reply = new Reply();
            ByteArrayOutputStream received = new ByteArrayOutputStream();
            try {
                StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
                headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
                head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
                ByteArrayOutputStream all = new ByteArrayOutputStream();
                all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
                all.write(body);
                socket.setSoTimeout(timeoutMillis);
                socket.getOutputStream().write(all.toByteArray());
                socket.getOutputStream().flush();
                String line = readLine(in);
                if (line == null) throw new EOFException("the connection was closed before an answer");
                reply.status = Integer.parseInt(line.split(" ")[1]);
                readHeaders(in, reply.headers);
                if ("chunked".equalsIgnoreCase(reply.headers.getOrDefault("Transfer-Encoding", ""))) {
                    readChunks(in, received);
                    reply.body = received.toByteArray();
                } else {
                    reply.body = readBody(in, reply.headers, true);
                }
                reply.whole = true;
                reusable = !"close".equalsIgnoreCase(reply.headers.getOrDefault("Connection", ""));
            } catch (IOException e) {
                reply.body = received.toByteArray();
                reply.failure = e.getClass().getSimpleName() + ": " + e.getMessage();
                reusable = false;
            }
            return reply;
        }

        @Override public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // It is closed.
            }
        }
    }

    /** Sends one request on a new connection. */
    static Reply call(String ip, int port, String method, String target, Map<String, String> headers, byte[] body, int timeoutMillis) {
        try (Connection connection = new Connection(ip, port)) {
            return connection.call(method, target, headers, body, timeoutMillis);
        } catch (IOException e) {
            Reply reply = new Reply();
            reply.failure = "not connected: " + e.getMessage();
            return reply;
        }
    }

    static Thread start(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
