package figdeck.model

/** Whether refused work may have had an effect. */
public enum class MayHaveRun {
    /** The work has not run and never will under this request. */
    NO,

    /** The work may have run. figdeck can't determine whether it did, and doesn't send it again. */
    UNKNOWN,
}
