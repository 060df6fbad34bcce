package figdeck.command.journal

import figdeck.model.Configuration
import figdeck.model.RequestRecord
import figdeck.model.Template
import figdeck.model.Work
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours

/** How long a result stays readable after its template has been removed. */
private val DEFAULT_RETENTION = 72.hours

/** How long the result of [record] stays readable: the retention of the template of its team or route. */
public fun retentionOf(record: RequestRecord, configuration: Configuration): Duration =
    configuration.templates.values.find { it.covers(record) }?.retention ?: DEFAULT_RETENTION

private fun Template.covers(record: RequestRecord): Boolean {
    val work = record.work
    return if (record.team == null && work is Work.ServiceCall) {
        routes.any { it.name == work.route }
    } else {
        teams.any { it.id == record.team }
    }
}

/** Whether the result of [record] may be deleted at [nowMillis]; a request that has not ended never expires. */
public fun isExpired(record: RequestRecord, configuration: Configuration, nowMillis: Long): Boolean {
    val endedAt = record.endedAtMillis ?: return false
    return nowMillis - endedAt > retentionOf(record, configuration).inWholeMilliseconds
}

/** Whether no request accepted at [acceptedAtMillis] or later can have expired at [nowMillis]. */
public fun isWithinAllRetentions(acceptedAtMillis: Long, configuration: Configuration, nowMillis: Long): Boolean {
    val shortest = configuration.templates.values.minOfOrNull { it.retention } ?: DEFAULT_RETENTION
    return nowMillis - acceptedAtMillis <= minOf(shortest, DEFAULT_RETENTION).inWholeMilliseconds
}
