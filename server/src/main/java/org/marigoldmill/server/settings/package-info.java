/** Settings files in TOML. */
package org.marigoldmill.server.settings;
