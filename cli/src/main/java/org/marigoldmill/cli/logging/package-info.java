/** Configuration of the log output; in code, so that no start loads an XML parser. */
package org.marigoldmill.cli.logging;
