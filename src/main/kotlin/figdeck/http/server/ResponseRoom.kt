package figdeck.http.server

import io.netty.handler.codec.http.HttpHeaders
import kotlin.time.Duration

/** The bytes up to which a response is sent ahead of its reader by a listener without rules of its own. */
private const val PLAIN_BYTES = 64 * 1024

/** The bytes that wait for their readers: [own] of one response, [all] of all responses of the listener. */
public data class UnreadBytes(
    public val own: Long,
    public val all: Long,
)

/** A response that was ended because its reader took too little of it. */
public data class StalledResponse(
    public val request: HttpHeaders,
    public val target: String,
    public val unread: UnreadBytes,
)

/**
 * Decides how far responses are sent ahead of their readers.
 *
 * @property hasRoom whether more of a response may be sent.
 * @property mayResume whether a response that was stopped may continue.
 * @property stallTimeout how long a response may be stopped before it is ended.
 * @property progressBytes how much the reader of a stopped response must take for that time to start again.
 * @property exceededLimits how many limits the bytes of all responses exceed, by which stopped responses may continue.
 * @property onStalled is called for each response that is ended.
 */
public data class ResponseRoom(
    public val hasRoom: (UnreadBytes) -> Boolean,
    public val mayResume: (UnreadBytes) -> Boolean,
    public val stallTimeout: Duration,
    public val progressBytes: Long,
    public val exceededLimits: (all: Long) -> Int,
    public val onStalled: (StalledResponse) -> Unit = {},
)

/** The rules of a listener whose peers are few and known. */
internal fun plainResponseRoom(writeTimeout: Duration): ResponseRoom = ResponseRoom(
    hasRoom = { it.own <= PLAIN_BYTES },
    mayResume = { it.own == 0L },
    stallTimeout = writeTimeout,
    progressBytes = PLAIN_BYTES.toLong(),
    exceededLimits = { 0 },
)
