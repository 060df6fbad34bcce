package figdeck.daemon.command.serving

import figdeck.model.Moment
import figdeck.model.serving.PromptPart
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.seconds

/** How long after an answer a part is no suspect. */
private val RECENT_ANSWER = 10.seconds
private const val MAX_PARTS = 4_096

/** The parts of prompts that upstreams answered a short time ago for this host. All threads may use it. */
internal class AnsweredParts {
    private val answeredAt = ConcurrentHashMap<PromptPart, Moment>()

    /** Records that an upstream began an answer to a prompt with [parts]. */
    fun record(parts: List<PromptPart>, now: Moment) {
        if (answeredAt.size > MAX_PARTS) {
            answeredAt.values.removeIf { now - it > RECENT_ANSWER }
        }
        if (answeredAt.size <= MAX_PARTS) {
            parts.forEach { answeredAt[it] = now }
        }
    }

    /** Whether [part] was answered a short time before [now]. */
    fun isRecent(part: PromptPart, now: Moment): Boolean = answeredAt[part]?.let { now - it <= RECENT_ANSWER } ?: false
}
