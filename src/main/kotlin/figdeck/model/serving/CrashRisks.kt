package figdeck.model.serving

import figdeck.model.Moment
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/** How long a report counts. After that a quarantined part is tried again. */
public val CRASH_REPORT_RETENTION: Duration = 10.minutes

/**
 * A crash report as one host knows it.
 *
 * @property version the version of its row; null until the store has confirmed it.
 */
public data class KnownCrash(
    public val report: CrashReport,
    public val reportedAt: Moment,
    public val version: Long?,
)

/**
 * The fact that a part was answered after it had been reported.
 *
 * @property version the version up to which reports no longer count against the part.
 */
public data class Clearance(
    public val version: Long,
    public val clearedAt: Moment,
)

/**
 * A part of prompts that is not sent to upstreams.
 *
 * @property until when it is tried again.
 * @property companions the other suspects of every report against it. Any of them may be the cause, so only prompts
 * that have them all are held back: one without them shows which it is.
 */
public data class Quarantine(
    public val until: Moment,
    public val companions: Set<PromptPart>,
)

/**
 * What a host knows about parts of prompts that may crash upstreams.
 *
 * @property crashes the reports of all hosts, by the key of their row.
 * @property clearances the parts that were cleared of reports.
 * @property suspected the parts with more than one report against them.
 * @property quarantined the parts that are not sent to upstreams.
 */
public data class CrashRisks(
    public val crashes: PersistentMap<String, KnownCrash>,
    public val clearances: PersistentMap<PromptPart, Clearance>,
    public val suspected: Set<PromptPart>,
    public val quarantined: Map<PromptPart, Quarantine>,
)

/** The state before the first report. */
public val noCrashRisks: CrashRisks = CrashRisks(persistentMapOf(), persistentMapOf(), emptySet(), emptyMap())
