package figdeck.cli

private const val GAP = "  "

/** Lines with [rows] below [head], each column as wide as its widest cell. */
internal fun table(head: List<String>, rows: List<List<String>>): List<String> {
    val all = listOf(head) + rows
    val widths = head.indices.map { column -> all.maxOf { it[column].length } }
    return all.map { row -> row.mapIndexed { i, cell -> cell.padEnd(widths[i]) }.joinToString(GAP).trimEnd() }
}
