package figdeck.platform

import figdeck.platform.command.PlatformCommands
import figdeck.platform.query.PlatformQueries

/** The platform's services as figdeck uses them. */
public data class Platform(
    public val commands: PlatformCommands,
    public val queries: PlatformQueries,
)
