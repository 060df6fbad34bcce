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

/** The time within which an online caller expects the complete answer. */
internal val ONLINE_TIMEOUT = 10.seconds

/**
 * The size of a deployment.
 *
 * @property betweenCentresLatency the one-way latency between data centres.
 * @property slots the slots of each runner.
 */
public data class Deployment(
    public val name: String,
    public val hosts: Int,
    public val centres: Int,
    public val betweenCentresLatency: Duration = 1_500.microseconds,
    public val runners: Int = RUNNERS,
    public val slots: Int = 8,
    public val teams: Int = TEAMS,
)

/** The two current deployments. */
public val deployments: List<Deployment> = listOf(
    Deployment("Stado", STADO_HOSTS, STADO_CENTRES),
    Deployment("Kurnimaja", KURNIMAJA_HOSTS, KURNIMAJA_CENTRES),
)

/**
 * A scheduling strategy.
 *
 * @property policy how an owner grants slots.
 * @property choose how a host chooses a runner by the reported loads.
 * @property reportInterval the interval at which hosts receive load reports.
 * @property reportedByOwner whether owners report their granted slots and queues; otherwise, engines report their
 * running sequences.
 * @property dividedSlots whether every host grants a share of each runner's slots; otherwise, one owner grants all of
 * them.
 * @property priorities whether online work has priority over batch work.
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

/** The scheduling that the product uses, followed by the baselines. */
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

/** The deployment, scheduling, load and random seed of a simulation run. */
public data class Scenario(
    public val deployment: Deployment,
    public val scheduling: Scheduling,
    public val shape: TraceShape,
    public val batch: Boolean,
    public val online: Boolean = true,
    public val seed: Long,
)
