package review2;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * A small deployment on loopback addresses: the store and the daemons of the deploy file, each with an address of its
 * own. Ends all processes that it has started when it is closed.
 */
final class Deployment implements AutoCloseable {
    /** One daemon. */
    static final class Daemon {
        final String name;
        final String ip;
        final String front;
        final String ready;
        final String control;
        Process process;

        Daemon(String name, String ip) throws IOException {
            this.name = name;
            this.ip = ip;
            front = freeAddress(ip);
            ready = freeAddress(ip);
            control = freeAddress(ip);
        }

        boolean isReady() {
            Http.Message reply = Http.call(ready, "GET", "/readiness", Map.of("Host", "balancer"), new byte[0], 900);
            return reply != null && reply.status() == 200;
        }
    }

    /** 127.x.y: the deployments of two runs at the same time use different addresses. */
    private final String net = "127." + ThreadLocalRandom.current().nextInt(20, 250) + "."
            + ThreadLocalRandom.current().nextInt(1, 250);
    final Path folder;
    final Store store;
    final List<Daemon> daemons = new ArrayList<>();
    private final String[] command;
    private final long startedAt = System.currentTimeMillis();
    private final StringBuilder record = new StringBuilder();

    Deployment(Path folder, int count) throws IOException {
        this.folder = folder;
        store = new Store(ip(1));
        for (int i = 1; i <= count; i++) daemons.add(new Daemon("edge-zone-a-" + i, ip(10 + i)));
        command = runLine();
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    String ip(int host) {
        return net + "." + host;
    }

    /** Starts the daemon with the command of the deploy file. */
    void start(Daemon daemon) throws IOException {
        List<String> seeds = daemons.stream().limit(3).map(d -> d.control).toList();
        List<String> words = new ArrayList<>();
        for (String word : command) {
            words.add(word
                    .replace("{{Node}}", daemon.name).replace("{{Zone}}", "zone-a").replace("{{Region}}", "region-a")
                    .replace("{{Zones}}", "{\"zone-a\":\"region-a\"}").replace("{{Listen.Front}}", daemon.front)
                    .replace("{{Listen.Ready}}", daemon.ready).replace("{{Listen.Control}}", daemon.control)
                    .replace("{{Seeds}}", String.join(",", seeds)).replace("{{Limits.CpuShare}}", "0.75")
                    .replace("{{Provider.Address}}", store.address()).replace("{{Bounds.GraceS}}", "8"));
        }
        File log = folder.resolve("log-" + daemon.name + ".txt").toFile();
        daemon.process = new ProcessBuilder(words).redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log)).start();
        note("start " + daemon.name + " pid " + daemon.process.pid());
    }

    /** Waits until the daemon is ready; false if it isn't in time. */
    boolean awaitReady(Daemon daemon, long timeoutMs) throws InterruptedException {
        long until = System.currentTimeMillis() + timeoutMs;
        while (System.currentTimeMillis() < until) {
            if (daemon.isReady()) return true;
            Thread.sleep(200);
        }
        return false;
    }

    long now() {
        return System.currentTimeMillis() - startedAt;
    }

    synchronized void note(String line) {
        String text = String.format("%7.3f %s", now() / 1000.0, line);
        record.append(text).append('\n');
        System.out.println(text);
    }

    synchronized void writeRecord(Path file) throws IOException {
        Files.writeString(file, record);
    }

    @Override
    public void close() {
        for (Daemon daemon : daemons) {
            if (daemon.process == null) continue;
            daemon.process.destroyForcibly();
            try {
                daemon.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        try {
            store.close();
        } catch (IOException e) {
            e.printStackTrace();
        }
    }

    private static String[] runLine() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = ")) return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" ");
        }
        throw new IOException("deploy/system.toml has no run line");
    }

    private static String freeAddress(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return ip + ":" + socket.getLocalPort();
        }
    }
}
