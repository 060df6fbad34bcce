package figdeck.daemon.command

import figdeck.model.Address
import figdeck.model.ConfigurationChange
import figdeck.model.PeerView
import figdeck.model.Revision

/**
 * Exchanges configuration changes between daemons. Both calls return null if the peer does not answer in time.
 *
 * @property ask requests the view of a peer, passing the revision that this daemon has.
 * @property push sends changes to a peer and returns the view of the peer after it applied them.
 */
internal data class PeerConfigurationClient(
    val ask: suspend (Address, Revision) -> PeerView?,
    val push: suspend (Address, List<ConfigurationChange>) -> PeerView?,
)
