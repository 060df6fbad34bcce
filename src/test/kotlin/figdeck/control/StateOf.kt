package figdeck.control

import figdeck.command.ownership.HostIdentity
import figdeck.model.Address
import figdeck.model.DataCentre
import figdeck.model.HostId

/** The initial state of a [host] that is in no fleet. */
fun stateOf(host: String): ControlState =
    initialState(HostIdentity(HostId(host), Address("127.0.0.1", 1), DataCentre("centre-a")))
