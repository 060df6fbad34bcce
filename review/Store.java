import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

/**
 * A stand-in for the platform's store: tables with versions, a feed of changes, and objects. It keeps to the limits of
 * PROTOCOL.md for a transaction: at most 100 entries and 1 MB.
 */
final class Store implements AutoCloseable {
    private static final int MAX_ENTRIES = 100;
    private static final int MAX_TRANSACTION_BYTES = 1_048_576;
    private static final int MAX_ROW_BYTES = 65_536;
    private static final int PAGE_ROWS = 500;
    private static final int PAGE_BYTES = 1_000_000;
    private static final int TX_MILLIS = 3;

    /** What the store does with a call while a fault lasts. */
    enum Fault { NONE, BUSY, SILENT, RESET }

    private static final class Row {
        final String table;
        final String key;
        final byte[] value;
        final long version;

        Row(String table, String key, byte[] value, long version) {
            this.table = table;
            this.key = key;
            this.value = value;
            this.version = version;
        }
    }

    private final TreeMap<String, Row> rows = new TreeMap<>();
    /** The latest change of each row, removals too, by version. */
    private final TreeMap<Long, List<Row>> history = new TreeMap<>();
    private final Map<String, byte[]> objects = new ConcurrentHashMap<>();
    private long version;
    private final long startedAt = System.nanoTime();
    private final Http.Server server;
    final String ip;

    /** The fault for the table of a call; the name is empty for calls about objects. */
    volatile Function<String, Fault> faultOf = table -> Fault.NONE;
    volatile int slowMillis;
    volatile int refusedAsTooLarge;

    Store(String ip) throws Exception {
        this.ip = ip;
        server = new Http.Server(ip, 0, this::handle);
    }

    int port() {
        return server.port();
    }

    @Override public void close() throws Exception {
        server.close();
    }

    /** Writes a row as the operator or a runner does. Returns when the store has accepted it. */
    synchronized long put(String table, String key, String value) {
        version++;
        apply(new Row(table, key, value.getBytes(StandardCharsets.UTF_8), version));
        notifyAll();
        return version;
    }

    synchronized void remove(String table, String key) {
        version++;
        apply(new Row(table, key, null, version));
        notifyAll();
    }

    /** The values of a table by key. */
    synchronized Map<String, String> table(String table) {
        Map<String, String> found = new TreeMap<>();
        for (Row row : rows.values()) {
            if (row.table.equals(table)) found.put(row.key, new String(row.value, StandardCharsets.UTF_8));
        }
        return found;
    }

    private void apply(Row row) {
        String id = row.table + "\u0000" + row.key;
        if (row.value == null) rows.remove(id); else rows.put(id, row);
        history.computeIfAbsent(row.version, v -> new ArrayList<>()).add(row);
    }

    private long nowMillis() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    private void handle(Http.Request request, Http.Answer answer) throws Exception {
        Fault fault = faultOf.apply(tableOf(request));
        if (fault == Fault.RESET) {
            answer.reset();
            return;
        }
        if (fault == Fault.SILENT) {
            while (!answer.isAbandoned()) Thread.sleep(20);
            answer.closes = true;
            return;
        }
        if (fault == Fault.BUSY) {
            answer.send(503, "{}");
            return;
        }
        if (slowMillis > 0) Thread.sleep(slowMillis);
        switch (request.path) {
            case "/rows-tx": transact(request, answer); break;
            case "/rows-get": read(request, answer); break;
            case "/rows-feed": feed(request, answer); break;
            default: object(request, answer);
        }
    }

    @SuppressWarnings("unchecked")
    private static String tableOf(Http.Request request) {
        if (request.path.equals("/rows-tx")) {
            Map<String, Object> message = Json.object(new String(request.body, StandardCharsets.UTF_8));
            for (String part : List.of("Puts", "Remove", "ExpectedRev")) {
                List<Object> entries = (List<Object>) message.getOrDefault(part, List.of());
                if (!entries.isEmpty()) return (String) ((Map<String, Object>) entries.get(0)).get("Table");
            }
        }
        return request.query.getOrDefault("Table", "");
    }

    @SuppressWarnings("unchecked")
    private void transact(Http.Request request, Http.Answer answer) throws Exception {
        Map<String, Object> message = Json.object(new String(request.body, StandardCharsets.UTF_8));
        List<Object> expected = (List<Object>) message.getOrDefault("ExpectedRev", List.of());
        List<Object> puts = (List<Object>) message.getOrDefault("Puts", List.of());
        List<Object> removals = (List<Object>) message.getOrDefault("Remove", List.of());
        if (request.body.length > MAX_TRANSACTION_BYTES || expected.size() + puts.size() + removals.size() > MAX_ENTRIES) {
            refusedAsTooLarge++;
            answer.send(413, "{}");
            return;
        }
        Thread.sleep(TX_MILLIS);
        String reply;
        int status = 200;
        synchronized (this) {
            boolean holds = true;
            StringBuilder current = new StringBuilder();
            for (Object entry : expected) {
                Map<String, Object> check = (Map<String, Object>) entry;
                Row row = rows.get(check.get("Table") + "\u0000" + check.get("Key"));
                long actual = row == null ? 0 : row.version;
                holds &= actual == (Long) check.get("Ver");
                if (row != null) current.append(current.length() == 0 ? "" : ",").append(encode(row));
            }
            if (holds) {
                version++;
                for (Object entry : puts) {
                    Map<String, Object> put = (Map<String, Object>) entry;
                    byte[] value = Base64.getDecoder().decode((String) put.get("Value"));
                    if (value.length > MAX_ROW_BYTES) refusedAsTooLarge++;
                    apply(new Row((String) put.get("Table"), (String) put.get("Key"), value, version));
                }
                for (Object entry : removals) {
                    Map<String, Object> removal = (Map<String, Object>) entry;
                    apply(new Row((String) removal.get("Table"), (String) removal.get("Key"), null, version));
                }
                notifyAll();
            } else {
                status = 412;
            }
            reply = "{\"Rows\":[" + (holds ? "" : current) + "],\"Ver\":" + version + ",\"NowMs\":" + nowMillis() + "}";
        }
        answer.send(status, reply);
    }

    private void read(Http.Request request, Http.Answer answer) throws Exception {
        String table = request.query.get("Table");
        String from = request.query.getOrDefault("From", "");
        String to = request.query.get("To");
        int limit = Math.min(PAGE_ROWS, Integer.parseInt(request.query.getOrDefault("Limit", "" + PAGE_ROWS)));
        StringBuilder found = new StringBuilder();
        boolean hasMore = false;
        String reply;
        synchronized (this) {
            int count = 0;
            for (Row row : rows.tailMap(table + "\u0000" + from, true).values()) {
                if (!row.table.equals(table) || (to != null && row.key.compareTo(to) >= 0)) break;
                String text = encode(row);
                if (count == limit || (count > 0 && found.length() + text.length() > PAGE_BYTES)) {
                    hasMore = true;
                    break;
                }
                found.append(count == 0 ? "" : ",").append(text);
                count++;
            }
            reply = "{\"Rows\":[" + found + "],\"HasMore\":" + hasMore + ",\"Ver\":" + version + ",\"NowMs\":" + nowMillis() + "}";
        }
        answer.send(200, reply);
    }

    private void feed(Http.Request request, Http.Answer answer) throws Exception {
        String table = request.query.get("Table");
        long after = Long.parseLong(request.query.getOrDefault("After", "0"));
        long deadline = System.nanoTime() + Long.parseLong(request.query.getOrDefault("WaitMs", "0")) * 1_000_000;
        String reply;
        synchronized (this) {
            StringBuilder changes = changes(table, after);
            while (changes.length() == 0 && System.nanoTime() < deadline) {
                wait(Math.max(1, (deadline - System.nanoTime()) / 1_000_000));
                changes = changes(table, after);
            }
            reply = "{\"Rows\":[" + changes + "],\"Ver\":" + version + ",\"NowMs\":" + nowMillis() + "}";
        }
        if (faultOf.apply(table) != Fault.NONE) {
            answer.reset();
            return;
        }
        answer.send(200, reply);
    }

    private StringBuilder changes(String table, long after) {
        StringBuilder found = new StringBuilder();
        for (List<Row> batch : history.tailMap(after, false).values()) {
            for (Row row : batch) {
                if (row.table.equals(table)) found.append(found.length() == 0 ? "" : ",").append(encode(row));
            }
        }
        return found;
    }

    private void object(Http.Request request, Http.Answer answer) throws Exception {
        String key = request.path.substring(request.path.indexOf('/', 1) + 1);
        Thread.sleep(25);
        switch (request.method) {
            case "PUT":
                objects.put(key, request.body);
                answer.send(200, "{}");
                break;
            case "DELETE":
                objects.remove(key);
                answer.send(200, "{}");
                break;
            default:
                byte[] found = objects.get(key);
                answer.send(found == null ? 404 : 200, Map.of(), found == null ? new byte[0] : found);
        }
    }

    private static String encode(Row row) {
        String start = "{\"Table\":" + Json.quote(row.table) + ",\"part\":\"\",\"Key\":" + Json.quote(row.key) + ",\"Ver\":" + row.version;
        return row.value == null
            ? start + ",\"Removed\":true}"
            : start + ",\"Value\":\"" + Base64.getEncoder().encodeToString(row.value) + "\"}";
    }
}
