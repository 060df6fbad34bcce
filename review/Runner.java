import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** A stand-in for a runner. It registers itself in the store, checks who is expected, and lets {@link #work} answer. */
final class Runner implements AutoCloseable {
    /** A request that reached the runner. */
    static final class Run {
        final Http.Request request;
        final long atMillis;
        volatile String end = "running";

        Run(Http.Request request, long atMillis) {
            this.request = request;
            this.atMillis = atMillis;
        }

        String id() {
            return request.headers.getOrDefault("X-Attempt-Id", "");
        }
    }

    interface Work {
        void answer(Runner runner, Run run, Http.Answer answer) throws Exception;
    }

    final String id;
    final String service;
    final int slots;
    final List<Run> runs = Collections.synchronizedList(new ArrayList<>());
    final AtomicInteger running = new AtomicInteger();
    private final Http.Server server;
    private final Fleet fleet;
    private final String ip;
    private final Work work;
    private final boolean isEngine;

    Runner(Fleet fleet, String ip, String id, String service, int slots, boolean isEngine, Work work) throws Exception {
        this.fleet = fleet;
        this.ip = ip;
        this.id = id;
        this.service = service;
        this.slots = slots;
        this.isEngine = isEngine;
        this.work = work;
        server = new Http.Server(ip, 0, this::handle);
    }

    void register(String state) {
        String models = isEngine ? "[{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}]" : "[]";
        fleet.store.put("servers", id, "{\"Service\":" + Json.quote(service) + ",\"Address\":\"" + ip + ":" + server.port()
            + "\",\"Zone\":\"zone-a\",\"Version\":\"v1\",\"Slots\":" + slots + ",\"State\":\"" + state
            + "\",\"ColdRemainingMs\":0,\"Stage\":\"both\",\"Models\":" + models + ",\"Seq\":1}");
    }

    @Override public void close() throws Exception {
        server.close();
    }

    private void handle(Http.Request request, Http.Answer answer) throws Exception {
        Run run = new Run(request, fleet.millis());
        runs.add(run);
        String expected = request.header("X-Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            run.end = "421";
            answer.send(421, Map.of("X-Instance-Id", id, "X-Not-Executed", "1"), new byte[0]);
            return;
        }
        running.incrementAndGet();
        try {
            work.answer(this, run, answer);
        } catch (Exception e) {
            run.end = "its caller closed the connection";
            throw e;
        } finally {
            running.decrementAndGet();
        }
    }

    /** Whether a request with the id has reached this runner. */
    boolean hasRun(String attempt) {
        synchronized (runs) {
            return runs.stream().anyMatch(run -> run.id().equals(attempt));
        }
    }

    Map<String, String> stamp(Run run) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Attempt-Id", run.id());
        headers.put("X-Response-Stamp", "stamp." + id + "." + run.id());
        return headers;
    }

    /** Streams events of the texts after the one that the request resumes from, one each interval. */
    void stream(Run run, Http.Answer answer, List<String> texts, int firstMillis, int intervalMillis) throws Exception {
        String last = run.request.header("Last-Event-Id");
        int next = last == null ? 0 : Integer.parseInt(last);
        Thread.sleep(firstMillis);
        Map<String, String> headers = stamp(run);
        headers.put("Content-Type", "text/event-stream");
        answer.startChunks(200, headers);
        for (int i = next; i < texts.size(); i++) {
            if (answer.isAbandoned()) throw new java.io.IOException("abandoned");
            answer.chunk(("id: " + (i + 1) + "\ndata: " + texts.get(i) + "\n\n").getBytes(StandardCharsets.UTF_8));
            if (intervalMillis > 0) Thread.sleep(intervalMillis);
        }
        answer.endChunks();
        run.end = "complete";
    }

    /** Answers with a body after some time, unless the caller leaves. */
    void respond(Run run, Http.Answer answer, String body, int afterMillis) throws Exception {
        long until = System.nanoTime() + afterMillis * 1_000_000L;
        while (System.nanoTime() < until) {
            if (answer.isAbandoned()) throw new java.io.IOException("abandoned");
            Thread.sleep(5);
        }
        answer.send(200, stamp(run), body.getBytes(StandardCharsets.UTF_8));
        run.end = "complete";
    }
}
