package figdeck.daemon.command

import figdeck.model.Address
import figdeck.model.ConfigurationChange
import figdeck.model.PeerView
import figdeck.model.Revision

/**
 * How daemons tell each other of the configuration; null stands for no answer in time.
 *
 * @property ask asks a peer what it knows, naming the revision that this daemon has.
 * @property push sends a peer changes and returns what it knows afterwards.
 */
internal data class PeerConfigurationClient(
    val ask: suspend (Address, Revision) -> PeerView?,
    val push: suspend (Address, List<ConfigurationChange>) -> PeerView?,
)
