package review2;

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
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 over plain sockets: messages, a server with a thread for each connection, and a client. */
final class Http {
    private Http() {
    }

    /** A request or a response; the names of its headers are in lower case. */
    record Message(String first, String second, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.get(name.toLowerCase());
        }

        int status() {
            return Integer.parseInt(second);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    interface Handler {
        /** Answers on the connection. Returns whether the connection may carry another request. */
        boolean handle(Message request, Socket socket, OutputStream out) throws Exception;
    }

    /** A listener. */
    static final class Server implements AutoCloseable {
        private final ServerSocket listener;
        private final Handler handler;
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();

        Server(String ip, int port, Handler handler) throws IOException {
            this.handler = handler;
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 1024);
            start("accept", this::accept);
        }

        String address() {
            return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
        }

        private void accept() throws IOException {
            while (!listener.isClosed()) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                open.add(socket);
                start("connection", () -> serve(socket));
            }
        }

        private void serve(Socket socket) throws Exception {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                boolean goesOn = true;
                while (goesOn) {
                    Message request = read(in, true, false);
                    goesOn = request != null && handler.handle(request, socket, out);
                }
            } finally {
                open.remove(socket);
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
            for (Socket socket : open) socket.close();
        }
    }

    /** Work that may fail because a peer goes away. */
    interface Work {
        void run() throws Exception;
    }

    static Thread start(String name, Work work) {
        Thread thread = new Thread(null, () -> {
            try {
                work.run();
            } catch (IOException e) {
                // The peer hung up.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (Exception e) {
                e.printStackTrace();
            }
        }, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Sends one request on a new connection and returns the whole response; null if there was none in time. */
    static Message call(String address, String method, String target, Map<String, String> headers, byte[] body,
            int timeoutMs) {
        String[] parts = address.split(":");
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1_000);
            socket.setSoTimeout(timeoutMs);
            socket.setTcpNoDelay(true);
            socket.getOutputStream().write(request(method, target, headers, body));
            return read(new BufferedInputStream(socket.getInputStream()), false, method.equals("HEAD"));
        } catch (IOException e) {
            return null;
        }
    }

    static byte[] request(String method, String target, Map<String, String> headers, byte[] body) {
        StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        return joined(head.toString(), body);
    }

    static byte[] response(int status, Map<String, String> headers, byte[] body) {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        return joined(head.toString(), body);
    }

    static byte[] joined(String head, byte[] body) {
        byte[] first = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[first.length + body.length];
        System.arraycopy(first, 0, all, 0, first.length);
        System.arraycopy(body, 0, all, first.length, body.length);
        return all;
    }

    static Message read(InputStream in, boolean isRequest, boolean isBodiless) throws IOException {
        String line = line(in);
        if (line == null) return null;
        String[] words = line.split(" ");
        Map<String, String> headers = new LinkedHashMap<>();
        for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
            int colon = header.indexOf(':');
            headers.put(header.substring(0, colon).trim().toLowerCase(), header.substring(colon + 1).trim());
        }
        byte[] body = isBodiless ? new byte[0] : body(in, headers, isRequest);
        return new Message(words[0], words[1], headers, body);
    }

    private static byte[] body(InputStream in, Map<String, String> headers, boolean isRequest) throws IOException {
        String length = headers.get("content-length");
        if (length != null) return exactly(in, Integer.parseInt(length));
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            int size = chunkSize(in);
            while (size > 0) {
                all.write(exactly(in, size));
                line(in);
                size = chunkSize(in);
            }
            line(in);
            return all.toByteArray();
        }
        return isRequest ? new byte[0] : in.readAllBytes();
    }

    private static int chunkSize(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) throw new EOFException("the message broke off");
        return Integer.parseInt(line, 16);
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] read = in.readNBytes(size);
        if (read.length < size) throw new EOFException("the message broke off");
        return read;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) return null;
        while (next != '\n') {
            if (next < 0) throw new EOFException("the message broke off");
            if (next != '\r') bytes.write(next);
            next = in.read();
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }
}
