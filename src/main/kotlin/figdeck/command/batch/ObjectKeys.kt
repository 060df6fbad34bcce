package figdeck.command.batch

import figdeck.model.SegmentId

/** The key of the object that holds a segment's items. */
public fun itemsKey(id: SegmentId): String = "batch/${id.batch}/items/${id.number}"

/** The key of the object with the results of a group, as written by one [writer]; writers never share an object. */
public fun resultsKey(id: SegmentId, group: Int, writer: String): String =
    "batch/${id.batch}/results/${id.number}/$group.$writer"
