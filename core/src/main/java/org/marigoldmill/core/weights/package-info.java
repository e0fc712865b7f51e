/** When which engine takes new weights. */
package org.marigoldmill.core.weights;
