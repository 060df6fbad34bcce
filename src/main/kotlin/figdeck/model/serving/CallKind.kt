package figdeck.model.serving

/** The kind of requests on a route, which determines whether they may be repeated. */
public enum class CallKind {
    /** A request that may run more than once. */
    IDEMPOTENT,

    /** A request that runs at most once for each attempt of the caller. */
    NON_IDEMPOTENT,

    /** A stream of events that runs at most once for each attempt of the caller. */
    STREAM,

    /** A stream of events that another upstream can continue after the last event that arrived. */
    RESUMABLE_STREAM,

    /** Batch jobs: sets of items that are submitted together and run later. */
    BATCH,
}

/** Whether a request that may already have run can be sent to another upstream. */
public val CallKind.isRepeatable: Boolean
    get() = this == CallKind.IDEMPOTENT || this == CallKind.RESUMABLE_STREAM

/** Whether the response is a stream of events. */
public val CallKind.isStream: Boolean
    get() = this == CallKind.STREAM || this == CallKind.RESUMABLE_STREAM
