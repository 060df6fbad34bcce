package figdeck.model

/** Whether refused work may have had an effect. */
public enum class MayHaveRun {
    /** It has not run and never will under this request. */
    NO,

    /** It may have run; figdeck can't tell and won't send it again. */
    UNKNOWN,
}
