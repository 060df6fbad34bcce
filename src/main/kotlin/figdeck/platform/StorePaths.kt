package figdeck.platform

internal const val TRANSACTION_PATH = "/rows-tx"
internal const val ROWS_PATH = "/rows-get"
internal const val CHANGES_PATH = "/rows-feed"
internal const val PUT_OBJECT_PATH = "/blob-put/"
internal const val GET_OBJECT_PATH = "/blob-get/"
internal const val DELETE_OBJECT_PATH = "/blob-drop/"

/** The names of the store's query parameters. */
internal object StoreParameter {
    const val TABLE: String = "Table"

    /** The part of the table; the product keeps all rows in the part without a name. */
    const val PART: String = "part"

    /** The key at which to start, inclusive. */
    const val FROM: String = "From"

    /** The key at which to stop, exclusive. */
    const val TO: String = "To"
    const val LIMIT: String = "Limit"

    /** The version after which to return changes. */
    const val AFTER: String = "After"

    /** How long the store waits for a change, in milliseconds. */
    const val WAIT: String = "WaitMs"
}
