package figdeck.model.serving

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

/**
 * The part of an item's output received so far. Event ids are consecutive.
 *
 * @property events the data of the events in order.
 * @property lastEventId the id of the last event; null before the first.
 */
public data class ItemProgress(
    public val events: PersistentList<String>,
    public val lastEventId: Long?,
)

/**
 * A run of consecutive events of an output.
 *
 * @property start the number of events that precede the segment.
 * @property firstId the id of the first event of the segment.
 */
public data class OutputSegment(
    public val start: Int,
    public val firstId: Long,
    public val events: List<String>,
)

/** The progress of an output before its first event. */
public val noProgress: ItemProgress = ItemProgress(persistentListOf(), null)

/** Returns the output extended by the event [id], or null if [id] is missing or not the next id. */
public fun ItemProgress.withEvent(id: Long?, data: String): ItemProgress? =
    if (id == null || (lastEventId != null && id != lastEventId + 1)) null else ItemProgress(events.add(data), id)

/**
 * Returns the output extended by the new events of [segment], or the same output if [segment] starts after a gap. Both
 * must come from the same run, because events with the same numbers differ between runs.
 */
public fun ItemProgress.withSegment(segment: OutputSegment): ItemProgress {
    val overlap = events.size - segment.start
    val isContiguous = overlap >= 0 && (lastEventId == null || lastEventId + 1 == segment.firstId + overlap)
    return if (isContiguous && overlap < segment.events.size) {
        ItemProgress(events.addAll(segment.events.drop(overlap)), segment.firstId + segment.events.size - 1)
    } else {
        this
    }
}

/** Returns the first [count] events of the output, which must have as many. */
public fun ItemProgress.firstEvents(count: Int): ItemProgress = when (count) {
    0 -> noProgress
    else -> ItemProgress(events.subList(0, count).toPersistentList(), lastEventId?.let { it - (events.size - count) })
}

/** Returns the events from [offset] on that fit into [maxSize], or null if there are none. [sizeOf] measures each. */
public fun ItemProgress.segmentFrom(
    offset: Int,
    maxSize: Int,
    sizeOf: (String) -> Int = { it.length },
): OutputSegment? {
    var remaining = maxSize
    val added = events.drop(offset).takeWhile { event ->
        remaining -= sizeOf(event)
        remaining >= 0
    }
    val firstId = lastEventId?.let { it + 1 - (events.size - offset) }
    return if (firstId == null || added.isEmpty()) null else OutputSegment(offset, firstId, added)
}
