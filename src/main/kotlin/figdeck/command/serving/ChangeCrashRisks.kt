package figdeck.command.serving

import figdeck.model.Moment
import figdeck.model.serving.Clearance
import figdeck.model.serving.CrashRisks
import figdeck.model.serving.KnownCrash
import figdeck.model.serving.PromptPart
import kotlinx.collections.immutable.toPersistentMap

/** Adds or updates the report in the row [key]. */
public fun putCrash(state: CrashRisks, key: String, crash: KnownCrash, now: Moment): CrashRisks =
    assessCrashes(state.copy(crashes = state.crashes.put(key, crash)), now)

/** Drops the report in the row [key], which was removed. */
public fun dropCrash(state: CrashRisks, key: String, now: Moment): CrashRisks =
    assessCrashes(state.copy(crashes = state.crashes.remove(key)), now)

/** Clears [part] of the reports that [clearance] names, because an upstream answered it after they were made. */
public fun clearPart(state: CrashRisks, part: PromptPart, clearance: Clearance, now: Moment): CrashRisks {
    val known = state.clearances[part]
    val latest = if (known == null || clearance.version > known.version) clearance else known
    return assessCrashes(state.copy(clearances = state.clearances.put(part, latest)), now)
}

/** Drops the clearance of [part], whose row was removed. */
public fun dropClearance(state: CrashRisks, part: PromptPart, now: Moment): CrashRisks =
    assessCrashes(state.copy(clearances = state.clearances.remove(part)), now)

/** Clears [part] of all reports that this host knows, those included that the store has not confirmed. */
public fun clearLocally(state: CrashRisks, part: PromptPart, now: Moment): CrashRisks {
    val crashes = state.crashes.mapValues { (_, crash) ->
        if (crash.version == null) crash.withoutSuspect(part) else crash
    }.toPersistentMap()
    val latest = crashes.values.maxOfOrNull { it.version ?: 0 } ?: 0
    return clearPart(state.copy(crashes = crashes), part, Clearance(latest, now), now)
}

/** Replaces the confirmed reports and clearances by those that the store lists. */
public fun replaceRisks(
    state: CrashRisks,
    crashes: Map<String, KnownCrash>,
    clearances: Map<PromptPart, Clearance>,
    now: Moment,
): CrashRisks {
    val unconfirmed = state.crashes.filterValues { it.version == null }
    val replaced = state.copy(
        crashes = (unconfirmed + crashes).toPersistentMap(),
        clearances = clearances.toPersistentMap(),
    )
    return assessCrashes(replaced, now)
}

private fun KnownCrash.withoutSuspect(part: PromptPart): KnownCrash =
    copy(report = report.copy(suspects = report.suspects - part))
