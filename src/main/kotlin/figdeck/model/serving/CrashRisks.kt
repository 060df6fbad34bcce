package figdeck.model.serving

import figdeck.model.Moment
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/** How long a report counts. After that what was quarantined is tried again. */
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
 * The fact that a suspect was answered after it had been reported.
 *
 * @property version the version up to which reports no longer count against the suspect.
 */
public data class Clearance(
    public val version: Long,
    public val clearedAt: Moment,
)

/**
 * A part of prompts, or a request, that is not sent to upstreams.
 *
 * @property until when it is tried again.
 * @property companions the other suspects of every report against it. Any of them may be the cause, so only requests
 * that have them all are held back: one without them shows which it is.
 * @property trialFrom when a batch item may be sent all the same, to find out whether upstreams still crash.
 */
public data class Quarantine(
    public val until: Moment,
    public val companions: Set<CrashSuspect>,
    public val trialFrom: Moment,
)

/**
 * What a host knows about parts of prompts, and requests, that may crash upstreams.
 *
 * @property crashes the reports of all hosts, by the key of their row.
 * @property clearances the suspects that were cleared of reports.
 * @property suspected the suspects with more than one report against them.
 * @property quarantined the suspects that are not sent to upstreams.
 */
public data class CrashRisks(
    public val crashes: PersistentMap<String, KnownCrash>,
    public val clearances: PersistentMap<CrashSuspect, Clearance>,
    public val suspected: Set<CrashSuspect>,
    public val quarantined: Map<CrashSuspect, Quarantine>,
)

/** The state before the first report. */
public val noCrashRisks: CrashRisks = CrashRisks(persistentMapOf(), persistentMapOf(), emptySet(), emptyMap())
