package figdeck.daemon.command.serving

import figdeck.command.serving.confirmRenewal
import figdeck.command.serving.levels
import figdeck.control.Control
import figdeck.control.serving.ServingState
import figdeck.control.serving.announcedLimits
import figdeck.control.serving.applyMembers
import figdeck.control.serving.updateFleet
import figdeck.log.PartLog
import figdeck.log.orWarn
import figdeck.model.CallResult
import figdeck.model.Clock
import figdeck.model.Moment
import figdeck.model.RowWrite
import figdeck.model.TableTransaction
import figdeck.model.serving.FleetScan
import figdeck.model.serving.storeMillisAt
import figdeck.model.valueOrNull
import figdeck.query.serving.joinedAt
import figdeck.store.Store
import figdeck.store.query.TableFeed
import figdeck.store.query.TableSnapshot
import figdeck.store.query.allRows
import figdeck.wire.serving.MEMBER_TABLE
import figdeck.wire.serving.decodeFleetMember
import figdeck.wire.serving.encodeFleetMember
import figdeck.wire.serving.memberKey
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val MIN_JITTER = 0.9
private const val JITTER_RANGE = 0.2

/** How long after its start a host renews more often: after a power loss all hosts start at the same time. */
private val STARTUP_PERIOD = 3.seconds

/** The interval of these renewals, as a part of the normal one, which grows with the fleet. */
private const val STARTUP_RENEWAL_FRACTION = 0.3

/** How long the last write of a host that stops may take. */
private val LEAVE_TIMEOUT = 250.milliseconds
private val log = PartLog("fleet")

/** Renews this host's lease in the store and reads the member list, until cancelled. */
internal suspend fun Control<ServingState>.keepMembership(
    store: Store,
    feed: TableFeed,
    clock: Clock,
    random: Random,
) {
    val startedAt = clock()
    while (true) {
        val sentAt = clock()
        val listed = feed.snapshot(MEMBER_TABLE, allRows)
        if (listed is CallResult.Done) {
            applyListing(listed.value, sentAt)
            renew(store, clock)
        } else {
            log.debug { "the member list can't be read" }
        }
        val isNew = clock() - startedAt < STARTUP_PERIOD
        val renewal = snapshot.fleet.times.renewal
        val pause = if (isNew) renewal * STARTUP_RENEWAL_FRACTION else renewal
        delay(pause * (MIN_JITTER + JITTER_RANGE * random.nextDouble()))
    }
}

/**
 * Ends the [renewals] of this host, which is stopping, and removes it from the member list, so that others own at once
 * what it has owned. Takes at most [LEAVE_TIMEOUT].
 */
internal suspend fun Control<ServingState>.leaveMembership(store: Store, renewals: Job?) {
    // A renewal after the removal would add the host again.
    renewals?.cancelAndJoin()
    val key = memberKey(snapshot.fleet.self.host.value)
    val removal = TableTransaction(emptyList(), listOf(RowWrite(key, null)))
    val reply = withTimeoutOrNull(LEAVE_TIMEOUT) { store.commands.commit(removal) }
    if (reply !is CallResult.Done) {
        log.warn { "this host could not be removed from the member list: its lease will expire" }
    }
}

private suspend fun Control<ServingState>.applyListing(listed: TableSnapshot, sentAt: Moment) {
    val members = listed.rows.mapNotNull { decodeFleetMember(it.key, it.value).orWarn(log) }
    run { state, _ -> applyMembers(state, FleetScan(members, listed.storeMillis, sentAt)) }
}

private suspend fun Control<ServingState>.renew(store: Store, clock: Clock) {
    val fleet = snapshot.fleet
    val scan = fleet.scan ?: return
    val sentAt = clock()
    val storeMillis = scan.storeMillisAt(sentAt)
    val limits = snapshot.index?.teams.orEmpty().values.mapNotNull { team -> team.limit?.let { team.id to it } }.toMap()
    // The first renewal repeats the levels announced by earlier owners, until the new owners take them over.
    val inheritedLevels = fleet.levels.mapValues { it.value.tokens }.takeIf { fleet.renewedAt == null }.orEmpty()
    val levels = inheritedLevels + snapshot.limits.levels(limits, sentAt)
    val self = fleet.self.copy(
        joinedAtMillis = fleet.joinedAt(storeMillis, sentAt),
        renewedAtMillis = storeMillis,
        levels = levels,
        limits = snapshot.announcedLimits(sentAt),
    )
    val write = RowWrite(memberKey(self.host.value), encodeFleetMember(self))
    if (store.commands.commit(TableTransaction(emptyList(), listOf(write))).valueOrNull() != null) {
        run { state, _ -> updateFleet(state) { confirmRenewal(it, self, sentAt) } }
    }
}
