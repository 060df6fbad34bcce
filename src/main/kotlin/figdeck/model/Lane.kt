package figdeck.model

/** How urgent work is. */
public enum class Lane {
    /** A caller waits for it. It never waits behind batch work. */
    ONLINE,

    /** It takes what online work leaves, and gives it back at once. */
    BATCH,
}
