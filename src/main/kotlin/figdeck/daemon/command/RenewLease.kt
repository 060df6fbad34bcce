package figdeck.daemon.command

import figdeck.command.ownership.RenewalPlan
import figdeck.command.ownership.confirmPromise
import figdeck.command.ownership.confirmRenewal
import figdeck.command.ownership.currentGuardians
import figdeck.command.ownership.planRenewal
import figdeck.command.ownership.settleRenewals
import figdeck.command.ownership.withdrawRenewal
import figdeck.log.PartLog
import figdeck.model.ABSENT
import figdeck.model.CallResult
import figdeck.model.CommitReply
import figdeck.model.Moment
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

private val log = PartLog("lease")

/** Renews the lease of this host periodically, until cancelled. */
internal suspend fun MembershipServices.renewLeasePeriodically() {
    while (true) {
        if (ownership.attempts.isNotEmpty()) {
            resolveRenewals()
        }
        renew()
        delay(ownership.times.renewal)
    }
}

/**
 * Requests promises from the guardians of the lease while the table has not confirmed a renewal for two renewal
 * intervals, until cancelled.
 */
internal suspend fun MembershipServices.requestPromisesPeriodically(clock: () -> Moment) {
    while (true) {
        delay(ownership.times.renewal / 2)
        val held = ownership.held
        if (held != null && clock() - held.sentAt > ownership.times.renewal * 2) {
            requestPromises(held.lease.incarnation, clock)
        }
    }
}

/** Commits one renewal and applies its outcome to the ownership state. */
internal suspend fun MembershipServices.renew() {
    val incarnation = newIncarnation()
    val plan = decide { state, now -> planRenewal(state, incarnation, now) } ?: return
    when (val reply = platform.commitRenewal(plan)) {
        is CallResult.Done -> applyReply(plan, reply.value)
        is CallResult.NotDone, is CallResult.Refused -> change { state, _ -> withdrawRenewal(state, plan) }
        is CallResult.Unknown -> resolveRenewals()
    }
}

private suspend fun MembershipServices.applyReply(plan: RenewalPlan, reply: CommitReply) {
    when (reply) {
        is CommitReply.Committed -> change { state, _ -> confirmRenewal(state, plan, reply.version) }
        is CommitReply.Conflict -> resolveRenewals()
    }
    if (plan.expected == ABSENT) {
        shardsReleased.trySend(Unit)
    }
}

private suspend fun MembershipServices.resolveRenewals() {
    val heldBefore = ownership.held
    val read = platform.readHost(ownership.self.host)
    if (read is CallResult.Done) {
        change { state, _ -> settleRenewals(state, read.value.value) }
    }
    if (heldBefore != null && ownership.held == null) {
        log.warn { "host ${ownership.self.host} lost its lease" }
    }
}

private suspend fun MembershipServices.requestPromises(incarnation: Long, clock: () -> Moment) = coroutineScope {
    ownership.currentGuardians().mapNotNull { ownership.hosts[it]?.row?.lease }.forEach { guardian ->
        launch {
            val sentAt = clock()
            if (peers.promise(guardian, ownership.self.host, incarnation)) {
                change { state, _ -> confirmPromise(state, guardian.host, incarnation, sentAt) }
            }
        }
    }
}
