package figdeck.control

import figdeck.command.ownership.HostIdentity
import figdeck.model.Address
import figdeck.model.DataCentre
import figdeck.model.HostId

/** The state of a daemon of which only its name matters. */
fun initialState(host: HostId): ControlState =
    initialState(HostIdentity(host, Address("127.0.0.1", 1), DataCentre("centre-a")))
