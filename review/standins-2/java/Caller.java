package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Map;

/** A client that sends chat requests to one daemon, one after another, on a connection that it keeps open. */
final class Caller implements AutoCloseable {
    enum End { ANSWERED, REFUSED, CUT, SILENT }

    private static final int DEADLINE_MS = 5_000;
    private final Deployment.Daemon daemon;
    private final int team;
    private Socket socket;
    private InputStream in;

    Caller(Deployment.Daemon daemon, int team) {
        this.daemon = daemon;
        this.team = team;
    }

    /** Sends the request with this id, which is new, and returns how it ended; null if it could not be sent. */
    End chat(String id) throws IOException {
        if (socket == null && !connect()) return null;
        Map<String, String> headers = Plan.headers(team);
        headers.remove("Connection");
        headers.put("X-Attempt-Id", id);
        headers.put("X-Deadline-Ms", "" + DEADLINE_MS);
        headers.put("X-Model", "m");
        headers.put("X-Token-Usage", "250,320");
        headers.put("X-Prompt-Prefix", "77aa01:100," + id + ":150");
        try {
            socket.getOutputStream().write(Http.request("POST", Plan.STREAM_PREFIX + "1", headers, new byte[200]));
        } catch (IOException e) {
            close();
            return null;
        }
        return receive();
    }

    private End receive() throws IOException {
        try {
            Http.Message answer = Http.read(in, false, false);
            if (answer == null) {
                close();
                return End.CUT;
            }
            if ("close".equalsIgnoreCase(answer.header("Connection"))) close();
            return answer.status() == 200 ? End.ANSWERED : End.REFUSED;
        } catch (java.net.SocketTimeoutException e) {
            close();
            return End.SILENT;
        } catch (IOException e) {
            close();
            return End.CUT;
        }
    }

    private boolean connect() {
        String[] parts = daemon.front.split(":");
        socket = new Socket();
        try {
            socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1_000);
            socket.setTcpNoDelay(true);
            // As long as the request may take, and half a second more.
            socket.setSoTimeout(DEADLINE_MS + 500);
            in = new BufferedInputStream(socket.getInputStream());
            return true;
        } catch (IOException e) {
            socket = null;
            return false;
        }
    }

    @Override
    public void close() throws IOException {
        if (socket != null) socket.close();
        socket = null;
    }
}
