package figdeck.command.serving

import figdeck.model.Moment
import figdeck.model.serving.Clearance
import figdeck.model.serving.CrashRisks
import figdeck.model.serving.CrashSuspect
import figdeck.model.serving.KnownCrash
import kotlinx.collections.immutable.toPersistentMap

/** Adds or updates the report in the row [key]. */
public fun putCrash(state: CrashRisks, key: String, crash: KnownCrash, now: Moment): CrashRisks =
    assessCrashes(state.copy(crashes = state.crashes.put(key, crash.since(state.crashes[key]))), now)

/** This report with its first version, so that suspects that were cleared since then stay cleared in an update. */
private fun KnownCrash.since(first: KnownCrash?): KnownCrash =
    copy(version = listOfNotNull(first?.version, version).minOrNull())

/** Drops the report in the row [key], which was removed. */
public fun dropCrash(state: CrashRisks, key: String, now: Moment): CrashRisks =
    assessCrashes(state.copy(crashes = state.crashes.remove(key)), now)

/** Clears [suspect] of the reports that [clearance] names, because an upstream answered it after they were made. */
public fun clear(state: CrashRisks, suspect: CrashSuspect, clearance: Clearance, now: Moment): CrashRisks {
    val known = state.clearances[suspect]
    val latest = if (known == null || clearance.version > known.version) clearance else known
    return assessCrashes(state.copy(clearances = state.clearances.put(suspect, latest)), now)
}

/** Drops the clearance of [suspect], whose row was removed. */
public fun dropClearance(state: CrashRisks, suspect: CrashSuspect, now: Moment): CrashRisks =
    assessCrashes(state.copy(clearances = state.clearances.remove(suspect)), now)

/** Clears [suspect] of all reports that this host knows, those included that the store has not confirmed. */
public fun clearLocally(state: CrashRisks, suspect: CrashSuspect, now: Moment): CrashRisks {
    val crashes = state.crashes.mapValues { (_, crash) ->
        if (crash.version == null) crash.withoutSuspect(suspect) else crash
    }.toPersistentMap()
    val latest = crashes.values.maxOfOrNull { it.version ?: 0 } ?: 0
    return clear(state.copy(crashes = crashes), suspect, Clearance(latest, now), now)
}

/** Replaces the confirmed reports and clearances by those that the store lists. */
public fun replaceRisks(
    state: CrashRisks,
    crashes: Map<String, KnownCrash>,
    clearances: Map<CrashSuspect, Clearance>,
    now: Moment,
): CrashRisks {
    val unconfirmed = state.crashes.filterValues { it.version == null }
    val listed = crashes.mapValues { (key, crash) -> crash.since(state.crashes[key]) }
    val replaced = state.copy(
        crashes = (unconfirmed + listed).toPersistentMap(),
        clearances = clearances.toPersistentMap(),
    )
    return assessCrashes(replaced, now)
}

private fun KnownCrash.withoutSuspect(suspect: CrashSuspect): KnownCrash =
    copy(report = report.copy(suspects = report.suspects - suspect))
