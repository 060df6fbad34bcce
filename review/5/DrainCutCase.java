import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A daemon gets SIGTERM while callers use the connections that they keep. */
final class DrainCutCase {
    private static final int KEPT_CONNECTIONS = 40;
    /** When the first of the kept connections is used again, and the pause to the next. */
    private static final int FIRST_USE_MILLIS = 3300;
    private static final int USE_INTERVAL_MILLIS = 100;
    private static final int WORK_MILLIS = 400;
    private static final int GRACE_MILLIS = 8000;

    public static void main(String[] arguments) {
        Fleet.main(arguments, DrainCutCase::run);
    }

    private static int run(Fleet fleet) throws Exception {
        List<String> texts = new ArrayList<>();
        for (int i = 1; i <= 31; i++) texts.add("word " + i);
        fleet.store.put("op", "config", Plans.config(1));
        fleet.addRunner("i-1", Plans.LLM, 8, true, (runner, run, answer) -> runner.stream(run, answer, texts, 20, 150));
        Runner desk = fleet.addRunner("i-2", Plans.DESK, 6, false, (runner, run, answer) -> runner.respond(run, answer, "free", WORK_MILLIS));
        Fleet.Daemon daemon = fleet.addDaemon();
        daemon.start();
        daemon.awaitReady();
        Thread.sleep(3000);
        List<Http.Connection> kept = new ArrayList<>();
        List<Thread> openers = new ArrayList<>();
        for (int i = 0; i < KEPT_CONNECTIONS; i++) {
            Http.Connection connection = daemon.connect();
            String id = "first" + i;
            kept.add(connection);
            openers.add(Http.start(() -> {
                Http.Reply reply = connection.call("POST", "/slotchk/" + id, Fleet.headers(id, 1500), new byte[600], 3000);
                if (reply.status != 200 || !connection.reusable) fleet.note(id + ": " + reply);
            }));
            Thread.sleep(70);
        }
        for (Thread opener : openers) opener.join();
        Thread.sleep(500);
        long start = fleet.millis();
        if (fleet.trouble) daemon.terminate(); else fleet.note("no signal");
        // Streams of other callers, sent while the balancer may still choose this daemon.
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            String id = "chat" + i;
            long at = start + 1000 + i * 900;
            callers.add(Http.start(() -> chat(fleet, daemon, id, at)));
        }
        AtomicInteger lost = new AtomicInteger();
        AtomicInteger answered = new AtomicInteger();
        for (int i = 0; i < KEPT_CONNECTIONS; i++) {
            Http.Connection connection = kept.get(i);
            String id = "kept" + i;
            long at = start + FIRST_USE_MILLIS + (long) i * USE_INTERVAL_MILLIS;
            callers.add(Http.start(() -> use(fleet, connection, desk, id, at, start, lost, answered)));
        }
        for (Thread caller : callers) caller.join();
        return fleet.finish(lost.get() > 0, lost.get() + " requests were passed on and their connection ended without an answer; "
            + answered.get() + " were answered");
    }

    private static void chat(Fleet fleet, Fleet.Daemon daemon, String id, long at) {
        try {
            fleet.sleepUntil(at);
        } catch (InterruptedException e) {
            return;
        }
        Http.Reply reply = daemon.call("POST", "/chat/" + id, Plans.promptHeaders(id, 5000), new byte[1500], 6000);
        fleet.note(id + " sent at " + at + ": " + reply);
    }

    private static void use(Fleet fleet, Http.Connection connection, Runner desk, String id, long at, long start, AtomicInteger lost, AtomicInteger answered) {
        try {
            fleet.sleepUntil(at);
        } catch (InterruptedException e) {
            return;
        }
        Http.Reply reply = connection.call("POST", "/slotchk/" + id, Fleet.headers(id, 1500), new byte[600], 3000);
        long end = fleet.millis();
        boolean passedOn = desk.hasRun(id);
        fleet.note(id + " sent " + (at - start) + " ms after the signal, ended " + (end - start) + " ms after it, passed on: " + passedOn + ": " + reply);
        if (reply.whole) answered.incrementAndGet();
        // The machine ends GraceS after the signal; until then nothing but the daemon closes the connection.
        if (!reply.whole && passedOn && end - start < GRACE_MILLIS && end - at < 1500) lost.incrementAndGet();
    }
}
