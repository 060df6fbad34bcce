package review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The runners of a service leave one after the other, without a report, and each starts again under the id that it had
 * before the next one leaves.
 */
final class Case6 {
    private static final int RUNNERS = 7;
    /** DrainMs, and a little longer. */
    private static final long LINGER_MS = 3_000;
    private static final long MAX_PROMPT_WAIT_MS = 3_000;
    private static final long AWAY_MS = 1_000;
    private static final long BACK_MS = 1_000;
    private static final long FIRST_EVENT_MS = 200;
    private static final int EVENTS = 31;
    private static final long EVENT_MS = 10;
    private static final int CLIENTS = 24;
    private static final long CHAT_GAP_MS = 100;
    private static final int ITEMS = 10;
    private static final String JOB = "5011d00100aa11bb";
    private static final long FINISH_MS = 18_000;
    private static final long CALM_MS = 5_000;

    private final Deployment fleet;
    private final boolean hasTrouble;
    private final List<Runner> runners = new ArrayList<>();
    private final Map<Integer, AtomicInteger> statuses = new ConcurrentHashMap<>();
    private volatile boolean isOver;

    private Case6(Deployment fleet, boolean hasTrouble) {
        this.fleet = fleet;
        this.hasTrouble = hasTrouble;
    }

    public static void main(String[] args) throws Exception {
        int code = 2;
        try (Deployment fleet = new Deployment(Path.of(args[1]), 2)) {
            code = new Case6(fleet, !"0".equals(System.getenv("TROUBLE"))).run();
            fleet.writeRecord(Path.of(args[0], "record.txt"));
        } catch (Exception e) {
            e.printStackTrace();
        }
        Runtime.getRuntime().exit(code);
    }

    private int run() throws Exception {
        for (int i = 0; i < RUNNERS; i++) runners.add(newRunner("i-" + i));
        fleet.store.put("op", "config", Plan.config(1, 2, 60));
        for (Deployment.Daemon daemon : fleet.daemons) fleet.start(daemon);
        for (Deployment.Daemon daemon : fleet.daemons) {
            if (!fleet.awaitReady(daemon, 20_000)) return couldNotRun(daemon.name + " isn't ready");
        }
        Thread.sleep(4_000);
        for (int i = 0; i < CLIENTS; i++) converse(i);
        Thread.sleep(4_000);
        noteStatuses("before the first runner leaves");
        for (int i = 0; i < RUNNERS && hasTrouble; i++) restart(i);
        noteStatuses("until all runners are back");
        Thread.sleep(4_000);
        noteStatuses("since then");
        if (!submit()) return couldNotRun("the batch job was refused");
        Thread.sleep(3_000);
        isOver = true;
        noteStatuses("until the end of the traffic");
        return judge();
    }

    private Runner newRunner(String id) throws Exception {
        int host = 100 + Integer.parseInt(id.substring(2));
        return new Runner(fleet.ip(host), id, Plan.ENGINES, fleet.store, EVENTS, EVENT_MS, null)
                .withFirstEventAfter(FIRST_EVENT_MS);
    }

    private void restart(int index) throws Exception {
        Runner old = runners.get(index);
        old.awaitPrompt(MAX_PROMPT_WAIT_MS);
        old.leave();
        fleet.note(old.id + " leaves while a request waits for its first event: its entry is removed, it goes on serving");
        Thread.sleep(LINGER_MS);
        old.close();
        Thread.sleep(AWAY_MS);
        runners.set(index, newRunner(old.id));
        fleet.note(old.id + " has started again");
        Thread.sleep(BACK_MS);
    }

    private void converse(int index) {
        Deployment.Daemon daemon = fleet.daemons.get(index % fleet.daemons.size());
        Http.start("client", () -> {
            for (int i = 0; !isOver; i++) {
                Http.Message answer = chat(daemon, "c" + index + "-" + i);
                int status = answer == null ? 0 : answer.status();
                statuses.computeIfAbsent(status, s -> new AtomicInteger()).incrementAndGet();
                Thread.sleep(status == 200 ? CHAT_GAP_MS : 1_000);
            }
        });
    }

    private static Http.Message chat(Deployment.Daemon daemon, String id) {
        Map<String, String> headers = new LinkedHashMap<>(Plan.headers(1));
        headers.put("X-Attempt-Id", id);
        headers.put("X-Deadline-Ms", "5000");
        headers.put("X-Model", "m");
        headers.put("X-Token-Usage", "250,248");
        headers.put("X-Prompt-Prefix", "77aa01:100," + id + ":150");
        return Http.call(daemon.front, "POST", Plan.STREAM_PREFIX + "1", headers, new byte[200], 5_500);
    }

    private void noteStatuses(String when) {
        fleet.note("chats " + when + ", by status: " + statuses);
        statuses.clear();
    }

    private boolean submit() {
        List<String> items = new ArrayList<>();
        for (int i = 0; i < ITEMS; i++) items.add(Plan.item(itemId(i), 250, 248, new byte[15]));
        Http.Message answer = Plan.submit(fleet.daemons.get(0), 0, JOB, items, 5_000);
        fleet.note("submit " + JOB + ", " + ITEMS + " items: "
                + (answer == null ? "no answer" : answer.status()));
        return answer != null && answer.status() == 202;
    }

    private static String itemId(int i) {
        return "e5b2907c14da6f3" + i;
    }

    /** The rule as written: FinishS after the end of the traffic, and what the runners did before that. */
    private int judge() throws Exception {
        Set<String> own = new HashSet<>();
        for (int i = 0; i < ITEMS; i++) own.add(itemId(i));
        long end = System.currentTimeMillis() + FINISH_MS;
        int most = 0;
        boolean hadItem = false;
        while (System.currentTimeMillis() < end) {
            Thread.sleep(100);
            if (end - System.currentTimeMillis() > CALM_MS) continue;
            int busy = 0;
            for (Runner runner : runners) {
                busy += runner.running();
                for (String id : runner.runningIds()) hadItem |= own.contains(id);
            }
            most = Math.max(most, busy);
        }
        int listed = listed();
        int ran = 0;
        for (Runner runner : runners) for (Runner.Run run : runner.runs()) if (own.contains(run.id)) ran++;
        fleet.note("FinishS is over: " + listed + " of " + ITEMS + " items are listed; their runs at all runners: " + ran);
        fleet.note("in the last 5 s at most " + most + " of " + RUNNERS * Runner.SLOTS + " slots were taken; an item ran: "
                + hadItem);
        boolean isBroken = listed >= 0 && listed < ITEMS && !hadItem && most * 2 < RUNNERS * Runner.SLOTS;
        fleet.note(isBroken ? "BROKEN: LOST, " + (ITEMS - listed) + " accepted items are not listed" : "held");
        return isBroken ? 1 : 0;
    }

    private int listed() {
        Http.Message page = null;
        for (int i = 0; i < 5 && (page == null || page.status() != 200); i++) {
            page = Plan.results(fleet.daemons.get(i % fleet.daemons.size()), 0, JOB, 0);
        }
        if (page == null || page.status() != 200) return -1;
        List<Map<String, Object>> results = Json.list(Json.object(page.text()), "Results");
        return results.size();
    }

    private int couldNotRun(String reason) {
        fleet.note("could not run: " + reason);
        return 2;
    }
}
