package figdeck.query.serving

import figdeck.model.serving.ItemProgress
import figdeck.model.serving.OutputRunId
import figdeck.model.serving.RunOutput
import figdeck.model.serving.SavedSegment
import figdeck.model.serving.firstEvents
import figdeck.model.serving.noProgress
import figdeck.model.serving.withSegment
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * Returns the longest output that one run has saved in [segments], with the events that it continued, or null if no run
 * has saved its beginning. The order of [segments] does not matter.
 */
public fun longestOutput(segments: List<SavedSegment>): RunOutput? =
    segments.sortedBy { it.segment.start }
        .fold(persistentMapOf<OutputRunId, ItemProgress>()) { outputs, saved -> outputs.withSegment(saved) }
        .map { (run, progress) -> RunOutput(run, progress) }
        .maxWithOrNull(compareBy({ it.progress.events.size }, { it.run.value }))

private fun PersistentMap<OutputRunId, ItemProgress>.withSegment(
    saved: SavedSegment,
): PersistentMap<OutputRunId, ItemProgress> =
    outputBefore(saved)?.let { put(saved.run, it.withSegment(saved.segment)) } ?: this

/** Returns the output that [saved] extends, or null if it is unknown. */
private fun Map<OutputRunId, ItemProgress>.outputBefore(saved: SavedSegment): ItemProgress? {
    val start = saved.segment.start
    return when {
        saved.run in this -> get(saved.run)
        start == 0 -> noProgress
        else -> saved.continues?.let { get(it) }?.takeIf { it.events.size >= start }?.firstEvents(start)
    }
}
