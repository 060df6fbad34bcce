import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;

/** The configuration of a small deployment, with the routes of the Stádo sheet, and the batch jobs sent to it. */
final class Plans {
    static final String LLM = "pastvina";
    static final String DESK = "ohrada";

    private Plans() { }

    static String config(int version) {
        return "{\"Version\":" + version + ",\"Routes\":["
            + "{\"Name\":\"chat-cz\",\"Host\":\"" + Fleet.HOST + "\",\"Prefix\":\"/chat/\",\"Kind\":\"streaming\",\"TimeoutMs\":5000,"
            + "\"TargetLatencyMs\":300,\"Priority\":0,\"Service\":\"" + LLM + "\",\"MaxAttempts\":2,\"Public\":false,\"Sticky\":true,"
            + "\"Resumable\":true,\"GapAimMs\":250},"
            + "{\"Name\":\"brief\",\"Host\":\"" + Fleet.HOST + "\",\"Prefix\":\"/brief/\",\"Kind\":\"batch\",\"TimeoutMs\":15000,"
            + "\"TargetLatencyMs\":400,\"Priority\":2,\"Service\":\"" + LLM + "\",\"MaxAttempts\":3,\"Public\":false,\"Sticky\":true,"
            + "\"RunTargetMs\":18000,\"MaxWaitS\":60,\"MaxCount\":1100000},"
            + "{\"Name\":\"slotchk\",\"Host\":\"" + Fleet.HOST + "\",\"Prefix\":\"/slotchk/\",\"Kind\":\"idempotent\",\"TimeoutMs\":1500,"
            + "\"TargetLatencyMs\":386,\"Priority\":2,\"Service\":\"" + DESK + "\",\"MaxAttempts\":2,\"Public\":false}],"
            + "\"Services\":[{\"Name\":\"" + LLM + "\",\"HealthPath\":\"/health\",\"MaxConns\":210,\"Protocol\":\"h1\",\"Tls\":false},"
            + "{\"Name\":\"" + DESK + "\",\"HealthPath\":\"/health\",\"MaxConns\":110,\"Protocol\":\"h1\",\"Tls\":false}],"
            + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
            + "\"Tenants\":[{\"Name\":\"huka270\",\"ApiKeys\":[\"" + Fleet.KEY + "\"],\"RatePerS\":42,\"Burst\":42}]}";
    }

    /** The headers of a request to a language model. */
    static Map<String, String> promptHeaders(String id, int deadlineMillis) {
        Map<String, String> headers = Fleet.headers(id, deadlineMillis);
        headers.put("X-Model", "m");
        headers.put("X-Token-Usage", "450,248");
        headers.put("X-Prompt-Prefix", "5c1e07a2:100,91bd3f06:100," + id + ":250");
        return headers;
    }

    static String item(String id, String path, byte[] body, int tokens) {
        return "{\"Id\":\"" + id + "\",\"Path\":" + Json.quote(path) + ",\"Headers\":{\"X-Model\":\"m\",\"X-Token-Usage\":\"350,"
            + (tokens - 350) + "\",\"X-Prompt-Prefix\":\"9c2e41:100," + id + ":250\"},\"Body\":\""
            + Base64.getEncoder().encodeToString(body) + "\",\"Tokens\":" + tokens + "}";
    }

    /** A batch job whose items are called ID-0, ID-1 and so on. */
    static byte[] job(String id, int items, int bodyBytes, int tokens) {
        List<String> all = new ArrayList<>();
        for (int i = 0; i < items; i++) all.add(item(id + "-" + i, "/brief/" + id + "/" + i, new byte[bodyBytes], tokens));
        return ("{\"Requests\":[" + String.join(",", all) + "]}").getBytes(StandardCharsets.UTF_8);
    }

    /** Sends a batch job to one daemon after the other until it is accepted. */
    static boolean submit(Fleet fleet, List<Fleet.Daemon> daemons, String id, byte[] body) throws Exception {
        for (int attempt = 0; attempt < 2 * daemons.size(); attempt++) {
            Fleet.Daemon daemon = daemons.get(attempt % daemons.size());
            Http.Reply reply = daemon.call("POST", "/brief/" + id, Fleet.headers(id, 4000), body, 4000);
            fleet.note("job " + id + " of " + body.length + " bytes to " + daemon.name + ": " + reply);
            if (reply.status == 202) return true;
            Thread.sleep(500);
        }
        return false;
    }
}
