package figdeck.bench

import figdeck.command.dispatch.ChoicePolicy
import figdeck.command.dispatch.DispatchPolicy
import figdeck.command.dispatch.fifoOrder
import figdeck.command.dispatch.prefixAffinityChoice
import figdeck.command.dispatch.randomChoice
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val STADO_HOSTS = 12
private const val STADO_CENTRES = 3
private const val KURNIMAJA_HOSTS = 12
private const val KURNIMAJA_CENTRES = 4
private const val RUNNERS = 8
private const val TEAMS = 8
private val PEER_REPORT_INTERVAL = 100.milliseconds
private val ENGINE_REPORT_INTERVAL = 1.seconds

/** How long an online caller waits for its whole answer. */
internal val ONLINE_TIMEOUT = 10.seconds

/** The size of a deployment. */
public data class Deployment(
    public val name: String,
    public val hosts: Int,
    public val centres: Int,
    public val betweenCentresLatency: Duration = 1_500.microseconds,
    public val runners: Int = RUNNERS,
    public val slots: Int = 8,
    public val teams: Int = TEAMS,
)

/** The two deployments of today. */
public val deployments: List<Deployment> = listOf(
    Deployment("Stado", STADO_HOSTS, STADO_CENTRES),
    Deployment("Kurnimaja", KURNIMAJA_HOSTS, KURNIMAJA_CENTRES),
)

/**
 * A way to schedule.
 *
 * @property policy how an owner gives out slots.
 * @property choose how a host chooses among runners by the loads it knows.
 * @property reportInterval how often a host hears of loads.
 * @property reportedByOwner whether owners report what they gave out, or engines what they run.
 * @property dividedSlots whether each host has a part of every runner's slots in place of one owner having all.
 * @property priorities whether batch work stands behind online work.
 */
public data class Scheduling(
    public val name: String,
    public val policy: DispatchPolicy = DispatchPolicy(),
    public val choose: ChoicePolicy = prefixAffinityChoice,
    public val reportInterval: Duration = PEER_REPORT_INTERVAL,
    public val reportedByOwner: Boolean = true,
    public val dividedSlots: Boolean = false,
    public val priorities: Boolean = true,
)

private val leastLoaded: ChoicePolicy = { views, _, _ -> views.minBy { it.load } }

/** The chosen way and the plain ones beside it. */
public val schedulings: List<Scheduling> = listOf(
    Scheduling("owner, bounded affinity"),
    Scheduling("random runner", choose = randomChoice),
    Scheduling(
        "least reported load",
        choose = leastLoaded,
        reportInterval = ENGINE_REPORT_INTERVAL,
        reportedByOwner = false
    ),
    Scheduling("divided slots", dividedSlots = true),
    Scheduling("arrival order", policy = DispatchPolicy(order = ::fifoOrder), priorities = false),
)

/** What a run counts on: where, how, under which load and with which seed. */
public data class Scenario(
    public val deployment: Deployment,
    public val scheduling: Scheduling,
    public val shape: TraceShape,
    public val batch: Boolean,
    public val online: Boolean = true,
    public val seed: Long,
)
