package figdeck.standin

import figdeck.model.DataCentre
import figdeck.model.ListedHost
import figdeck.model.parseAddress
import figdeck.wire.lenientJson
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer

@Serializable
internal data class ListedHostDto(
    val name: String,
    val address: String,
    val dataCentre: String,
    val leaving: Boolean = false,
)

/** Encodes the hosts list in the form that the platform stand-in accepts and returns. */
internal fun encodeHosts(hosts: List<ListedHost>): String {
    val dtos = hosts.map { ListedHostDto(it.name, it.address.toString(), it.dataCentre.value, it.leaving) }
    return lenientJson.encodeToString(ListSerializer(ListedHostDto.serializer()), dtos)
}

internal fun decodeHosts(text: String): List<ListedHost> =
    lenientJson.decodeFromString(ListSerializer(ListedHostDto.serializer()), text)
        .map { ListedHost(it.name, parseAddress(it.address), DataCentre(it.dataCentre), it.leaving) }
