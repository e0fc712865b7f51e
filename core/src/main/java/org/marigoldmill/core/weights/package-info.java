/** Decides when engines load new versions of a model's weights. */
package org.marigoldmill.core.weights;
