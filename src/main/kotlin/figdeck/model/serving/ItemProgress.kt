package figdeck.model.serving

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/**
 * The beginning of an item's output. Event ids rise by one.
 *
 * @property events the data of the events, in order.
 * @property lastEventId the id of the last of them; null before the first.
 */
public data class ItemProgress(
    public val events: PersistentList<String>,
    public val lastEventId: Long?,
)

/**
 * Events of an output in order.
 *
 * @property start the number of events before them.
 * @property firstId the id of the first.
 */
public data class OutputSegment(
    public val start: Int,
    public val firstId: Long,
    public val events: List<String>,
)

/** An output before its first event. */
public val noProgress: ItemProgress = ItemProgress(persistentListOf(), null)

/** The output with the event [id] as its next; null when another one has to come first. */
public fun ItemProgress.withEvent(id: Long?, data: String): ItemProgress? =
    if (id == null || (lastEventId != null && id != lastEventId + 1)) null else ItemProgress(events.add(data), id)

/** The output with what [segment] adds to it: nothing where that begins after a gap. */
public fun ItemProgress.withSegment(segment: OutputSegment): ItemProgress {
    val overlap = events.size - segment.start
    val isContiguous = overlap >= 0 && (lastEventId == null || lastEventId + 1 == segment.firstId + overlap)
    return if (isContiguous && overlap < segment.events.size) {
        ItemProgress(events.addAll(segment.events.drop(overlap)), segment.firstId + segment.events.size - 1)
    } else {
        this
    }
}

/** The events after the first [offset], as many as [maxCharacters] hold; null when there are none. */
public fun ItemProgress.segmentFrom(offset: Int, maxCharacters: Int): OutputSegment? {
    var remaining = maxCharacters
    val added = events.drop(offset).takeWhile { event ->
        remaining -= event.length
        remaining >= 0
    }
    val firstId = lastEventId?.let { it + 1 - (events.size - offset) }
    return if (firstId == null || added.isEmpty()) null else OutputSegment(offset, firstId, added)
}
