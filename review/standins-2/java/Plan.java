package review2;

import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.LinkedHashMap;
import java.nio.charset.StandardCharsets;

/** The configuration of a small deployment, and the requests of its clients. */
final class Plan {
    static final String HOST = "ficu95.example";
    static final String BATCH_PREFIX = "/brief/";
    static final String STREAM_PREFIX = "/chat/";
    static final String SERVICE_PREFIX = "/check/";
    static final String ENGINES = "pastvina";
    static final String SERVICE = "ohrada";
    static final long MAX_WAITING_TOKENS = 1_100_000;

    private Plan() {
    }

    static String key(int team) {
        return "key-of-team-" + team;
    }

    static String config(int version, int teams, long maxWaitS) {
        List<String> tenants = new ArrayList<>();
        for (int i = 0; i < teams; i++) {
            tenants.add("{\"Name\":\"team-" + i + "\",\"ApiKeys\":[\"" + key(i) + "\"],\"Priority\":1,\"RatePerS\":0,\"Burst\":0}");
        }
        return "{\"Version\":" + version + ",\"Routes\":["
                + route("brief", BATCH_PREFIX, "batch", 15_000, 400, 3, ENGINES)
                + ",\"RunTargetMs\":18000,\"MaxWaitS\":" + maxWaitS + ",\"MaxCount\":" + MAX_WAITING_TOKENS + ",\"Sticky\":true},"
                + route("chat", STREAM_PREFIX, "streaming", 5_000, 300, 2, ENGINES)
                + ",\"Sticky\":true,\"Resumable\":true,\"GapAimMs\":250},"
                + route("check", SERVICE_PREFIX, "idempotent", 3_000, 300, 2, SERVICE) + "}],"
                + "\"Services\":[{\"Name\":\"" + ENGINES + "\",\"HealthPath\":\"/health\",\"MaxConns\":210,\"Protocol\":\"h1\","
                + "\"Tls\":false,\"Engine\":{\"Slots\":" + Runner.SLOTS + ",\"KvCapacityTokens\":" + Runner.KV_TOKENS
                + ",\"Stride\":8,\"Models\":[{\"Name\":\"m\"}]}},"
                + "{\"Name\":\"" + SERVICE + "\",\"HealthPath\":\"/health\",\"MaxConns\":110,\"Protocol\":\"h1\",\"Tls\":false}],"
                + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
                + "\"Tenants\":[" + String.join(",", tenants) + "]}";
    }

    private static String route(String name, String prefix, String kind, int timeout, int target, int attempts, String service) {
        return "{\"Name\":\"" + name + "\",\"Host\":\"" + HOST + "\",\"Prefix\":\"" + prefix + "\",\"Kind\":\"" + kind
                + "\",\"TimeoutMs\":" + timeout + ",\"TargetLatencyMs\":" + target + ",\"Priority\":1,\"Service\":\"" + service
                + "\",\"MaxAttempts\":" + attempts + ",\"Public\":false";
    }

    /** One item of a batch job. */
    static String item(String id, int promptTokens, int outputTokens, byte[] body) {
        return "{\"Id\":\"" + id + "\",\"Path\":\"" + BATCH_PREFIX + "1/" + id + "\",\"Headers\":{\"X-Model\":\"m\",\"X-Token-Usage\":\""
                + promptTokens + "," + outputTokens + "\",\"X-Prompt-Prefix\":\"5c1e07a2:100," + id + ":" + (promptTokens - 100) + "\"},\"Body\":\""
                + Base64.getEncoder().encodeToString(body) + "\",\"Tokens\":" + (promptTokens + outputTokens) + "}";
    }

    /** Submits a batch job; null if there was no answer. */
    static Http.Message submit(Deployment.Daemon daemon, int team, String job, List<String> items, int timeoutMs) {
        Map<String, String> headers = headers(team);
        headers.put("X-Attempt-Id", job);
        headers.put("X-Deadline-Ms", "4000");
        headers.put("Content-Type", "application/json");
        byte[] body = ("{\"Requests\":[" + String.join(",", items) + "]}").getBytes(StandardCharsets.UTF_8);
        return Http.call(daemon.front, "POST", BATCH_PREFIX + job, headers, body, timeoutMs);
    }

    /** Reads the results of a batch job from a position on. */
    static Http.Message results(Deployment.Daemon daemon, int team, String job, int after) {
        return Http.call(daemon.front, "GET", "/lots/" + job + "?After=" + after, headers(team), new byte[0], 5_000);
    }

    static Map<String, String> headers(int team) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", HOST);
        headers.put("Authorization", "Bearer " + key(team));
        headers.put("Connection", "close");
        return headers;
    }
}
