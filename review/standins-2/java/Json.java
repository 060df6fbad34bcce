package review2;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON: maps, lists, strings, numbers (as Double), booleans and null. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    @SuppressWarnings("unchecked")
    static List<Map<String, Object>> list(Map<String, Object> object, String field) {
        Object found = object.get(field);
        return found == null ? List.of() : (List<Map<String, Object>>) found;
    }

    static String quote(String value) {
        StringBuilder out = new StringBuilder("\"");
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if (c == '"' || c == '\\') out.append('\\').append(c);
            else if (c < ' ') out.append(String.format("\\u%04x", (int) c));
            else out.append(c);
        }
        return out.append('"').toString();
    }

    private Object value() {
        skip();
        char c = text.charAt(at);
        if (c == '{') return map();
        if (c == '[') return array();
        if (c == '"') return string();
        int start = at;
        while (at < text.length() && "}],: \n\r\t".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(start, at);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> Double.valueOf(word);
        };
    }

    private Map<String, Object> map() {
        Map<String, Object> out = new LinkedHashMap<>();
        at++;
        for (skip(); text.charAt(at) != '}'; skip()) {
            if (text.charAt(at) == ',') at++;
            skip();
            String key = string();
            skip();
            at++;
            out.put(key, value());
        }
        at++;
        return out;
    }

    private List<Object> array() {
        List<Object> out = new ArrayList<>();
        at++;
        for (skip(); text.charAt(at) != ']'; skip()) {
            if (text.charAt(at) == ',') at++;
            out.add(value());
        }
        at++;
        return out;
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char e = text.charAt(at++);
            switch (e) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case 'r' -> out.append('\r');
                case 'b' -> out.append('\b');
                case 'f' -> out.append('\f');
                case 'u' -> {
                    out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                }
                default -> out.append(e);
            }
        }
        at++;
        return out.toString();
    }

    private void skip() {
        while (at < text.length() && " \n\r\t".indexOf(text.charAt(at)) >= 0) at++;
    }
}
