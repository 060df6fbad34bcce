import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/** The daemons of a case, started with the command of the deploy file, and the store that they use. */
final class Fleet implements AutoCloseable {
    static final String HOST = "desk.example";
    static final String KEY = "2b9wu3fexd9dnn2ctnfz";
    private static final int FRONT = 8405;
    private static final int READY = 8406;
    private static final int CONTROL = 8407;
    private static final int LIMIT_MILLIS = 113_000;

    /** One daemon, at the ports that DEPLOY.md shows. Its address stays the same when it is started again. */
    final class Daemon {
        final String name;
        final String ip;
        String storeAddress;
        Process process;
        private int starts;

        Daemon(String name, String ip) {
            this.name = name;
            this.ip = ip;
            this.storeAddress = store.ip + ":" + store.port();
        }

        void start() throws IOException {
            Map<String, String> values = new LinkedHashMap<>();
            values.put("Node", name);
            values.put("Zone", "zone-a");
            values.put("Listen.Front", ip + ":" + FRONT);
            values.put("Listen.Ready", ip + ":" + READY);
            values.put("Listen.Control", ip + ":" + CONTROL);
            values.put("Seeds", seeds());
            values.put("Limits.CpuShare", "0.75");
            values.put("Provider.Address", storeAddress);
            values.put("Bounds.GraceS", "8");
            List<String> command = new ArrayList<>();
            for (String word : runCommand().split(" ")) {
                for (Map.Entry<String, String> value : values.entrySet()) {
                    word = word.replace("{{" + value.getKey() + "}}", value.getValue());
                }
                command.add(word.startsWith("--fleet-name=") ? "--fleet-name=fleet" : word);
            }
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.redirectErrorStream(true);
            starts++;
            builder.redirectOutput(log().toFile());
            process = builder.start();
            note(name + " starts");
        }

        Path log() {
            return temporary.resolve(name + "-" + starts + ".log");
        }

        boolean isReady() {
            return Http.call(ip, READY, "GET", "/readiness", Map.of(), new byte[0], 1000).status == 200;
        }

        void awaitReady() throws Exception {
            for (int i = 0; i < 400; i++) {
                if (isReady()) {
                    note(name + " is ready");
                    return;
                }
                if (!process.isAlive()) throw new IllegalStateException(name + " ended with " + process.exitValue());
                Thread.sleep(50);
            }
            throw new IllegalStateException(name + " is not ready");
        }

        void kill() throws Exception {
            note(name + " gets SIGKILL");
            process.destroyForcibly().waitFor();
        }

        void terminate() {
            note(name + " gets SIGTERM");
            process.destroy();
        }

        void signal(String signal) throws Exception {
            note(name + " gets SIG" + signal);
            new ProcessBuilder("sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
        }

        Http.Reply call(String method, String target, Map<String, String> headers, byte[] body, int timeoutMillis) {
            return Http.call(ip, FRONT, method, target, headers, body, timeoutMillis);
        }

        Http.Connection connect() throws IOException {
            return new Http.Connection(ip, FRONT);
        }
    }

    final Store store;
    final List<Daemon> daemons = new ArrayList<>();
    private final List<Runner> runners = new ArrayList<>();
    private final PrintWriter record;
    private final Path temporary = Files.createTempDirectory("review-");
    private final long startedAt = System.nanoTime();
    /** Keeps cases that run at the same time apart: each uses loopback addresses of its own. */
    private final int net = ThreadLocalRandom.current().nextInt(10, 250);
    /** Whether the case's disruption happens. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    Fleet(String recordFile) throws Exception {
        record = new PrintWriter(new File(recordFile), StandardCharsets.UTF_8);
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        Thread watchdog = Http.start(() -> {
            try {
                Thread.sleep(LIMIT_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
            note("the time is over");
            Runtime.getRuntime().exit(2);
        });
        watchdog.setName("watchdog");
        store = new Store("127." + net + ".0.1");
        note(trouble ? "with the disruption" : "without the disruption");
    }

    static String runCommand() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) return line.substring(7, line.length() - 1);
        }
        throw new IOException("deploy/system.toml has no run command");
    }

    String ip(int machine) {
        return "127." + net + ".1." + machine;
    }

    Daemon addDaemon() {
        Daemon daemon = new Daemon("edge-" + (daemons.size() + 1), ip(daemons.size() + 1));
        daemons.add(daemon);
        return daemon;
    }

    Runner addRunner(String id, String service, int slots, boolean isEngine, Runner.Work work) throws Exception {
        Runner runner = new Runner(this, "127." + net + ".2." + (runners.size() + 1), id, service, slots, isEngine, work);
        runners.add(runner);
        runner.register("ready");
        return runner;
    }

    private String seeds() {
        StringBuilder text = new StringBuilder();
        for (Daemon daemon : daemons.subList(0, Math.min(3, daemons.size()))) {
            text.append(text.length() == 0 ? "" : ",").append(daemon.ip).append(":").append(CONTROL);
        }
        return text.toString();
    }

    /** Milliseconds since the case began. */
    long millis() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    synchronized void note(String line) {
        record.println(String.format("%7d ms  %s", millis(), line));
        record.flush();
    }

    void sleepUntil(long atMillis) throws InterruptedException {
        long left = atMillis - millis();
        if (left > 0) Thread.sleep(left);
    }

    /** The headers of a request of the tenant. */
    static Map<String, String> headers(String id, int deadlineMillis) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", HOST);
        headers.put("X-Attempt-Id", id);
        headers.put("X-Deadline-Ms", "" + deadlineMillis);
        headers.put("Authorization", "Bearer " + KEY);
        return headers;
    }

    /** The results of a batch job from a position on, as one daemon shows them; null if it shows none now. */
    static Map<String, Object> results(Daemon daemon, String job, int after) {
        Http.Reply reply = daemon.call("GET", "/lots/" + job + "?After=" + after, headers("read", 4000), new byte[0], 4000);
        return reply.whole && reply.status == 200 ? Json.object(reply.text()) : null;
    }

    /** Ends the record: what reached the runners, and whether the rule held. */
    int finish(boolean broken, String why) {
        for (Runner runner : runners) {
            for (Runner.Run run : List.copyOf(runner.runs)) {
                String last = run.request.header("Last-Event-Id");
                note("runner " + runner.id + " got " + run.request.path + " (" + run.id() + ") at " + run.atMillis + " ms"
                    + (last == null ? "" : ", to go on after event " + last) + ": " + run.end);
            }
        }
        note((broken ? "BROKEN: " : "held: ") + why);
        System.out.println((broken ? "BROKEN: " : "held: ") + why);
        return broken ? 1 : 0;
    }

    private void endProcesses() {
        for (Daemon daemon : daemons) {
            if (daemon.process != null) daemon.process.destroyForcibly();
        }
        if (System.getenv("KEEP_LOGS") == null) {
            File[] logs = temporary.toFile().listFiles();
            if (logs != null) for (File log : logs) log.delete();
            temporary.toFile().delete();
        } else {
            System.out.println("logs: " + temporary);
        }
    }

    @Override public void close() throws Exception {
        endProcesses();
        store.close();
        for (Runner runner : runners) runner.close();
        record.close();
    }

    interface Body {
        int run(Fleet fleet) throws Exception;
    }

    /** Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
    static void main(String[] arguments, Body body) {
        int code = 2;
        try {
            Fleet fleet = new Fleet(arguments[0]);
            try {
                code = body.run(fleet);
            } catch (Throwable e) {
                fleet.note("the case could not run: " + e);
                e.printStackTrace();
            } finally {
                fleet.endProcesses();
            }
        } catch (Throwable e) {
            e.printStackTrace();
        }
        Runtime.getRuntime().halt(code);
    }
}
