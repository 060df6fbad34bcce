package figdeck.control.serving

import figdeck.command.dispatch.ColdLimit
import figdeck.command.serving.ColdStatement
import figdeck.model.UpstreamId
import figdeck.model.serving.ColdStartPolicy
import figdeck.model.serving.PoolName

/**
 * An upstream that is cold.
 *
 * @property limit the limit that this host keeps for it.
 * @property statement what this host has learned about it.
 */
internal data class ColdUpstream(
    val id: UpstreamId,
    val pool: PoolName,
    val policy: ColdStartPolicy,
    val limit: ColdLimit,
    val statement: ColdStatement,
)
