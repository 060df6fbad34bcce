package review2;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A stand-in for a model runner. It registers itself in the store and streams events, a fixed number a request, to as
 * many requests at once as it has slots. What is larger than its memory is rejected as if it were full.
 */
final class Runner implements AutoCloseable {
    static final int SLOTS = 8;
    static final long KV_TOKENS = 101_495;
    private static final AtomicLong STAMPS = new AtomicLong();

    /** One run of a request: when it began, and how far it came. */
    static final class Run {
        final String id;
        final long beganAt = System.currentTimeMillis();
        volatile long endedAt;
        volatile boolean isWhole;

        Run(String id) {
            this.id = id;
        }
    }

    interface Behaviour {
        /** Answers in a way of its own and returns true, or leaves the request to the stand-in. */
        boolean answer(Runner runner, Http.Message request, Socket socket, OutputStream out) throws Exception;
    }

    final String id;
    private final String service;
    private final Store store;
    private final Http.Server server;
    private final int events;
    private final long eventMs;
    private final Behaviour behaviour;
    private final long born = System.currentTimeMillis();
    private final List<Run> runs = new ArrayList<>();
    private final Set<Run> running = ConcurrentHashMap.newKeySet();
    private volatile String padding = "";
    private volatile int weights = 1;
    private volatile long firstEventMs;
    private volatile boolean isLeaving;
    private final AtomicLong prompts = new AtomicLong();

    Runner(String ip, String id, String service, Store store, int events, long eventMs, Behaviour behaviour)
            throws IOException {
        this.id = id;
        this.service = service;
        this.store = store;
        this.events = events;
        this.eventMs = eventMs;
        this.behaviour = behaviour;
        server = new Http.Server(ip, 0, this::handle);
        // A heartbeat changes nothing in the entry but its sequence number, and that alone doesn't change the entry.
        store.put("servers", id, entry("ready"));
    }

    String address() {
        return server.address();
    }

    /** Adds [padding] to the text of each event. */
    Runner pad(String padding) {
        this.padding = padding;
        return this;
    }

    /** Loads the weights of [version]. */
    Runner withWeights(int version) {
        weights = version;
        return this;
    }

    /** Waits before it begins an answer, for as long as it takes to read a prompt. */
    Runner withFirstEventAfter(long delayMs) {
        firstEventMs = delayMs;
        return this;
    }

    List<Run> runs() {
        synchronized (runs) {
            return new ArrayList<>(runs);
        }
    }

    int running() {
        return running.size();
    }

    Set<String> runningIds() {
        Set<String> ids = ConcurrentHashMap.newKeySet();
        for (Run run : running) ids.add(run.id);
        return ids;
    }

    /** Says that it leaves. It goes on serving. */
    void drain() {
        store.put("servers", id, entry("draining"));
    }

    /** Waits until a request comes whose prompt is still to be read; at most as long as said. */
    void awaitPrompt(long timeoutMs) throws InterruptedException {
        long until = System.currentTimeMillis() + timeoutMs;
        long known = prompts.get();
        while (prompts.get() == known && System.currentTimeMillis() < until) Thread.sleep(1);
    }

    /** Leaves without a report in its entry, which is removed. It goes on serving, and says so in its answers. */
    void leave() {
        isLeaving = true;
        store.remove("servers", id);
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private String entry(String state) {
        return "{\"Service\":\"" + service + "\",\"Address\":\"" + address() + "\",\"Zone\":\"zone-a\","
                + "\"Version\":\"1\",\"Slots\":" + SLOTS + ",\"State\":\"" + state + "\",\"ColdRemainingMs\":0,\"Seq\":0"
                + ",\"born\":" + born + ",\"Stage\":\"both\",\"Models\":[{\"Name\":\"m\",\"Version\":1}]}";
    }

    private boolean handle(Http.Message request, Socket socket, OutputStream out) throws Exception {
        String attempt = request.header("X-Attempt-Id");
        String expected = request.header("X-Expect-Instance");
        if (request.second().equals("/health")) {
            out.write(Http.response(200, Map.of("X-Instance-Id", id), new byte[0]));
            return true;
        }
        if (expected != null && !expected.equals(id)) {
            reject(421, attempt, out);
            return true;
        }
        String version = request.header("X-Expect-Version");
        if (version != null && Integer.parseInt(version) != weights) {
            reject(421, attempt, out);
            return true;
        }
        if (behaviour != null && behaviour.answer(this, request, socket, out)) return true;
        if (tokens(request) > KV_TOKENS) {
            reject(503, attempt, out);
            return true;
        }
        Run run = new Run(attempt);
        synchronized (running) {
            if (running.size() >= SLOTS) run = null;
            else running.add(run);
        }
        if (run == null) {
            reject(503, attempt, out);
            return true;
        }
        synchronized (runs) {
            runs.add(run);
        }
        try {
            stream(request, run, out);
        } finally {
            run.endedAt = System.currentTimeMillis();
            running.remove(run);
        }
        return true;
    }

    private void stream(Http.Message request, Run run, OutputStream out) throws Exception {
        String resume = request.header("Last-Event-Id");
        prompts.incrementAndGet();
        Thread.sleep(firstEventMs);
        StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n");
        answerHeaders(run.id).forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        head.append("Transfer-Encoding: chunked\r\n\r\n");
        out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        for (int i = resume == null ? 1 : Integer.parseInt(resume) + 1; i <= events; i++) {
            Thread.sleep(eventMs);
            chunk(out, "id: " + i + "\ndata: " + text(run.id, i) + padding + "\n\n");
        }
        chunk(out, "");
        run.isWhole = true;
    }

    static String text(String id, int event) {
        return "word " + event + " of " + id;
    }

    static void chunk(OutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.write(Http.joined(Integer.toHexString(bytes.length) + "\r\n", (text + "\r\n").getBytes(StandardCharsets.UTF_8)));
        out.flush();
    }

    Map<String, String> answerHeaders(String attempt) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Attempt-Id", attempt);
        headers.put("X-Response-Stamp", id + "." + STAMPS.incrementAndGet());
        headers.put("X-Weight-Versions", "" + weights);
        if (isLeaving) headers.put("Server-Leaving", "1");
        return headers;
    }

    void reject(int status, String attempt, OutputStream out) throws IOException {
        Map<String, String> headers = answerHeaders(attempt);
        headers.put("X-Not-Executed", "1");
        out.write(Http.response(status, headers, new byte[0]));
    }

    private static long tokens(Http.Message request) {
        String usage = request.header("X-Token-Usage");
        if (usage == null) return 0;
        long sum = 0;
        for (String part : usage.split(",")) sum += Long.parseLong(part.trim());
        return sum;
    }
}
