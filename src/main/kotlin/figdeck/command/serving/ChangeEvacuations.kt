package figdeck.command.serving

import figdeck.model.DataCentre
import figdeck.model.serving.EvacuationChange
import figdeck.model.serving.Evacuations
import kotlinx.collections.immutable.toPersistentMap

/** Applies the complete list from the store: each evacuated data centre with the version of its row. */
public fun replaceEvacuations(listed: Map<DataCentre, Long>): Evacuations =
    Evacuations(listed.toPersistentMap(), isFromStore = true)

/** Applies a change of the row of [centre]; [version] is null if the row was removed. */
public fun changeEvacuation(state: Evacuations, centre: DataCentre, version: Long?): Evacuations = state.copy(
    centres = if (version == null) state.centres.remove(centre) else state.centres.put(centre, version),
)

/**
 * Applies the list that a peer last read. Once this host has read the store, the list is ignored: an evacuation in it
 * may have ended before that, and no change would tell so.
 */
public fun adoptEvacuations(state: Evacuations, listed: Map<DataCentre, Long>): Evacuations =
    if (state.isFromStore) state else state.copy(centres = listed.toPersistentMap())

/** The evacuations that begin or end between [before] and [after]. */
public fun evacuationChanges(before: Evacuations, after: Evacuations): List<EvacuationChange> =
    (after.centres - before.centres.keys).map { (centre, version) -> EvacuationChange(centre, true, version) } +
        (before.centres - after.centres.keys).map { (centre, version) -> EvacuationChange(centre, false, version) }
