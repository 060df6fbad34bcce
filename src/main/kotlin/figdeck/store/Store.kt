package figdeck.store

import figdeck.store.command.StoreCommands
import figdeck.store.query.StoreQueries

/** The platform's services as figdeck uses them. */
public data class Store(
    public val commands: StoreCommands,
    public val queries: StoreQueries,
)
