package figdeck.model

/** The scheduling class of a request. */
public enum class Lane {
    /** A caller is waiting for the result. Online requests never queue behind batch work. */
    ONLINE,

    /** Uses capacity that online requests leave free, and yields it as soon as they need it. */
    BATCH,
}
