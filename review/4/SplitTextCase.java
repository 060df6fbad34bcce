import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The daemon that ran a batch job is killed after its results were read; they are read again at another daemon. */
final class SplitTextCase {
    private static final String JOB = "7c41e09b52d6a3f8";
    private static final int ITEMS = 20;
    private static final int EVENTS = 300;
    private static final int EVENT_MILLIS = 5;

    public static void main(String[] arguments) {
        Fleet.main(arguments, SplitTextCase::run);
    }

    private static int run(Fleet fleet) throws Exception {
        fleet.store.put("op", "config", Plans.config(1));
        for (int i = 1; i <= 3; i++) {
            fleet.addRunner("i-" + i, Plans.LLM, 8, true, (runner, run, answer) -> runner.stream(run, answer, textsOf(run.id()), 20, EVENT_MILLIS));
        }
        for (int i = 0; i < 3; i++) fleet.addDaemon();
        for (Fleet.Daemon daemon : fleet.daemons) daemon.start();
        for (Fleet.Daemon daemon : fleet.daemons) daemon.awaitReady();
        Thread.sleep(3000);
        if (!Plans.submit(fleet, fleet.daemons, JOB, Plans.job(JOB, ITEMS, 1500, 2050))) return 2;
        List<Map<String, Object>> first = read(fleet, fleet.daemons.get(0), 40_000);
        if (first.size() < ITEMS) return 2;
        int wrong = 0;
        for (Map<String, Object> result : first) {
            if (!result.get("Output").equals(String.join("\n", textsOf((String) result.get("Id"))))) wrong++;
        }
        fleet.note("first read: " + first.size() + " results, " + wrong + " with another text than the runners wrote");
        if (fleet.trouble) fleet.daemons.get(0).kill();
        Fleet.Daemon next = fleet.daemons.get(fleet.trouble ? 1 : 0);
        Thread.sleep(1500);
        List<Map<String, Object>> second = read(fleet, next, 20_000);
        int changed = 0;
        for (int i = 0; i < second.size(); i++) {
            String before = (String) first.get(i).get("Output");
            String after = (String) second.get(i).get("Output");
            if (!before.equals(after)) {
                changed++;
                int at = 0;
                while (at < before.length() && at < after.length() && before.charAt(at) == after.charAt(at)) at++;
                fleet.note("position " + i + " (" + second.get(i).get("Id") + ") changed at character " + at + " from '"
                    + excerpt(before, at) + "' to '" + excerpt(after, at) + "'");
            }
        }
        return fleet.finish(wrong > 0 || changed > 0, changed + " of " + second.size() + " results changed between the reads at " + fleet.daemons.get(0).name + " and " + next.name);
    }

    private static String excerpt(String text, int at) {
        return text.substring(Math.max(0, text.offsetByCodePoints(at, 0) - 6), Math.min(text.length(), at + 6)).replace('\n', ' ');
    }

    @SuppressWarnings("unchecked")
    private static List<Map<String, Object>> read(Fleet fleet, Fleet.Daemon daemon, int patienceMillis) throws Exception {
        List<Map<String, Object>> found = new ArrayList<>();
        long deadline = fleet.millis() + patienceMillis;
        while (found.size() < ITEMS && fleet.millis() < deadline) {
            Map<String, Object> page = Fleet.results(daemon, JOB, found.size());
            if (page != null) for (Object each : (List<Object>) page.get("Results")) found.add((Map<String, Object>) each);
            Thread.sleep(200);
        }
        fleet.note(found.size() + " results read at " + daemon.name);
        return found;
    }

    private static List<String> textsOf(String item) {
        int number = Integer.parseInt(item.substring(item.indexOf('-') + 1));
        List<String> texts = new ArrayList<>();
        for (int i = 0; i < EVENTS; i++) texts.add("x".repeat(i == 0 ? number : 0) + "Trasa " + i + ": 🦙🐾🌲 přes hřeben 🏔🌤 k mostu 🌉🥾, sraz v devět 🕘🦙.");
        return texts;
    }
}
