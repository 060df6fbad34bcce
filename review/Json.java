import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer for the stand-ins. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json json = new Json(text);
        return json.value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    private Object value() {
        skipSpace();
        char c = text.charAt(at);
        if (c == '{') return readObject();
        if (c == '[') return readArray();
        if (c == '"') return readString();
        int start = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(start, at);
        switch (word) {
            case "true": return true;
            case "false": return false;
            case "null": return null;
            default: return word.matches("-?\\d+") ? (Object) Long.parseLong(word) : (Object) Double.parseDouble(word);
        }
    }

    private Map<String, Object> readObject() {
        Map<String, Object> found = new LinkedHashMap<>();
        at++;
        skipSpace();
        while (text.charAt(at) != '}') {
            skipSpace();
            String key = readString();
            skipSpace();
            at++; // the colon
            found.put(key, value());
            skipSpace();
            if (text.charAt(at) == ',') at++;
            skipSpace();
        }
        at++;
        return found;
    }

    private List<Object> readArray() {
        List<Object> found = new ArrayList<>();
        at++;
        skipSpace();
        while (text.charAt(at) != ']') {
            found.add(value());
            skipSpace();
            if (text.charAt(at) == ',') at++;
            skipSpace();
        }
        at++;
        return found;
    }

    private String readString() {
        StringBuilder out = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char escape = text.charAt(at++);
            switch (escape) {
                case 'n': out.append('\n'); break;
                case 'r': out.append('\r'); break;
                case 't': out.append('\t'); break;
                case 'b': out.append('\b'); break;
                case 'f': out.append('\f'); break;
                case 'u':
                    out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                    break;
                default: out.append(escape);
            }
        }
        at++;
        return out.toString();
    }

    private void skipSpace() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) at++;
    }

    static String quote(String text) {
        StringBuilder out = new StringBuilder("\"");
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '"' || c == '\\') {
                out.append('\\').append(c);
            } else if (c < 0x20) {
                out.append(String.format("\\u%04x", (int) c));
            } else {
                out.append(c);
            }
        }
        return out.append('"').toString();
    }
}
