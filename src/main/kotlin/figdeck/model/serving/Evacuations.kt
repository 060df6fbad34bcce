package figdeck.model.serving

import figdeck.model.DataCentre
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * The data centres whose upstreams get no new work because the operators evacuate them.
 *
 * @property centres the evacuated data centres, each with the version of its row.
 * @property isFromStore whether this host has read them from the store itself, not only from a peer.
 */
public data class Evacuations(
    public val centres: PersistentMap<DataCentre, Long>,
    public val isFromStore: Boolean,
)

/** The state before the first read. */
public val noEvacuations: Evacuations = Evacuations(persistentMapOf(), isFromStore = false)

/**
 * The begin or the end of an evacuation.
 *
 * @property version the version of the row that evacuates [centre], or that evacuated it.
 */
public data class EvacuationChange(
    public val centre: DataCentre,
    public val hasBegun: Boolean,
    public val version: Long,
)
