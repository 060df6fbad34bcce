package figdeck.store

import figdeck.store.command.StoreCommands
import figdeck.store.query.StoreQueries

/** Access to the platform's storage services. */
public data class Store(
    public val commands: StoreCommands,
    public val queries: StoreQueries,
)
