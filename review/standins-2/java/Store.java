package review2;

import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** A stand-in for the platform's metadata store: rows, changes and objects. */
final class Store implements AutoCloseable {
    private static final long TX_MS = 3;
    private static final long BLOB_MS = 25;
    private static final int PAGE_ROWS = 500;
    private static final int PAGE_BYTES = 1_000_000;

    /** @param value in Base64; null once the row was removed. */
    record Row(String table, String key, String value, long version) {
        String json() {
            return "{\"Table\":" + Json.quote(table) + ",\"part\":\"\",\"Key\":" + Json.quote(key) + ",\"Value\":"
                    + (value == null ? "null" : "\"" + value + "\"") + ",\"Ver\":" + version
                    + ",\"Removed\":" + (value == null) + "}";
        }
    }

    private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
    private final List<Row> removed = new ArrayList<>();
    private final Map<String, byte[]> objects = new ConcurrentHashMap<>();
    private final Http.Server server;
    private long version;

    Store(String ip) throws IOException {
        server = new Http.Server(ip, 0, (request, socket, out) -> {
            Http.Message reply = serve(request);
            out.write(Http.response(reply.status(), reply.headers(), reply.body()));
            return true;
        });
    }

    String address() {
        return server.address();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    synchronized void put(String table, String key, String value) {
        version++;
        String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
        table(table).put(key, new Row(table, key, encoded, version));
        notifyAll();
    }

    synchronized void remove(String table, String key) {
        version++;
        if (table(table).remove(key) != null) removed.add(new Row(table, key, null, version));
        notifyAll();
    }

    /** Adds a row of long ago: those who follow the table have read its version already, and are not told. */
    synchronized void putOld(String table, String key, String value) {
        String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
        table(table).put(key, new Row(table, key, encoded, 1));
    }

    synchronized List<Row> rows(String table) {
        return new ArrayList<>(table(table).values());
    }

    static String text(Row row) {
        return new String(Base64.getDecoder().decode(row.value()), StandardCharsets.UTF_8);
    }

    private TreeMap<String, Row> table(String name) {
        return tables.computeIfAbsent(name, n -> new TreeMap<>());
    }

    private Http.Message serve(Http.Message request) throws Exception {
        String[] parts = request.second().split("\\?", 2);
        Map<String, String> query = new HashMap<>();
        if (parts.length > 1) {
            for (String pair : parts[1].split("&")) {
                String[] both = pair.split("=", 2);
                query.put(both[0], URLDecoder.decode(both[1], StandardCharsets.UTF_8));
            }
        }
        String path = parts[0];
        if (path.equals("/rows-tx")) {
            Thread.sleep(TX_MS);
            return transaction(Json.object(request.text()));
        }
        if (path.equals("/rows-get")) return page(query);
        if (path.equals("/rows-feed")) return feed(query);
        Thread.sleep(BLOB_MS);
        String id = path.substring(path.indexOf('/', 1) + 1);
        if (path.startsWith("/blob-put/")) {
            objects.put(id, request.body());
            return reply(200, "{}");
        }
        if (path.startsWith("/blob-drop/")) {
            objects.remove(id);
            return reply(200, "{}");
        }
        byte[] found = path.startsWith("/blob-get/") ? objects.get(id) : null;
        return found == null ? reply(404, "{}") : new Http.Message("", "200", Map.of(), found);
    }

    private synchronized Http.Message transaction(Map<String, Object> message) {
        List<Row> current = new ArrayList<>();
        boolean holds = true;
        for (Map<String, Object> check : Json.list(message, "ExpectedRev")) {
            Row row = table((String) check.get("Table")).get((String) check.get("Key"));
            long expected = ((Double) check.get("Ver")).longValue();
            holds &= expected == (row == null ? 0 : row.version());
            if (row != null) current.add(row);
        }
        if (!holds) return reply(412, rowsJson(current, false, version));
        version++;
        for (Map<String, Object> put : Json.list(message, "Puts")) {
            String table = (String) put.get("Table");
            String key = (String) put.get("Key");
            table(table).put(key, new Row(table, key, (String) put.get("Value"), version));
        }
        for (Map<String, Object> removal : Json.list(message, "Remove")) {
            String table = (String) removal.get("Table");
            String key = (String) removal.get("Key");
            if (table(table).remove(key) != null) removed.add(new Row(table, key, null, version));
        }
        notifyAll();
        return reply(200, rowsJson(List.of(), false, version));
    }

    private synchronized Http.Message page(Map<String, String> query) {
        int limit = Math.min(Integer.parseInt(query.getOrDefault("Limit", "500")), PAGE_ROWS);
        String to = query.get("To");
        List<Row> found = new ArrayList<>();
        long bytes = 0;
        boolean hasMore = false;
        for (Row row : table(query.get("Table")).tailMap(query.getOrDefault("From", "")).values()) {
            if (to != null && row.key().compareTo(to) >= 0) break;
            bytes += row.value().length() + row.key().length() + 100;
            hasMore = found.size() == limit || bytes > PAGE_BYTES;
            if (hasMore) break;
            found.add(row);
        }
        return reply(200, rowsJson(found, hasMore, version));
    }

    private synchronized Http.Message feed(Map<String, String> query) throws InterruptedException {
        String table = query.get("Table");
        long after = Long.parseLong(query.get("After"));
        long until = System.currentTimeMillis() + Long.parseLong(query.getOrDefault("WaitMs", "0"));
        List<Row> changes = changes(table, after);
        while (changes.isEmpty() && System.currentTimeMillis() < until) {
            wait(Math.max(1, until - System.currentTimeMillis()));
            changes = changes(table, after);
        }
        return reply(200, rowsJson(changes, false, version));
    }

    private List<Row> changes(String table, long after) {
        List<Row> changes = new ArrayList<>();
        for (Row row : table(table).values()) if (row.version() > after) changes.add(row);
        for (Row row : removed) {
            boolean isBack = table(row.table()).containsKey(row.key());
            if (row.table().equals(table) && row.version() > after && !isBack) changes.add(row);
        }
        changes.sort(Comparator.comparingLong(Row::version));
        return changes;
    }

    private static String rowsJson(List<Row> rows, boolean hasMore, long version) {
        StringBuilder out = new StringBuilder("{\"Rows\":[");
        for (int i = 0; i < rows.size(); i++) out.append(i == 0 ? "" : ",").append(rows.get(i).json());
        long now = System.nanoTime() / 1_000_000;
        return out.append("],\"HasMore\":" + hasMore + ",\"Ver\":" + version + ",\"NowMs\":" + now + "}").toString();
    }

    private static Http.Message reply(int status, String json) {
        Map<String, String> headers = Map.of("Content-Type", "application/json");
        return new Http.Message("", "" + status, headers, json.getBytes(StandardCharsets.UTF_8));
    }
}
