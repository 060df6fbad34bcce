package figdeck.cli

private const val COLUMN_GAP = "  "

/** Formats [header] and [rows] as lines of text. Each column is as wide as its widest cell. */
internal fun formatTable(header: List<String>, rows: List<List<String>>): List<String> {
    val lines = listOf(header) + rows
    val widths = header.indices.map { column -> lines.maxOf { it[column].length } }
    return lines.map { row -> row.mapIndexed { i, cell -> cell.padEnd(widths[i]) }.joinToString(COLUMN_GAP).trimEnd() }
}
